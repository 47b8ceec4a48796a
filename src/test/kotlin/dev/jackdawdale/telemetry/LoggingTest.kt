package dev.jackdawdale.telemetry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.config.Configurator

private fun captureLog(json: Boolean, write: () -> Unit): String {
    val out = ByteArrayOutputStream()
    val old = System.out
    System.setOut(PrintStream(out, true))
    try {
        configureLogging(LogConfig(json, Level.INFO, "kochi-1", 17))
        write()
    } finally {
        System.setOut(old)
        Configurator.reconfigure()
    }
    return out.toString()
}

class LoggingTest :
    FunSpec({
        test("a JSON line has the ids that operators search for") {
            val line = captureLog(json = true) {
                withLogFields(work = "c/1", customer = "c", term = 3) {
                    LogManager.getLogger("test").info("placed \"{}\"", "x")
                }
                LogManager.getLogger("test").debug("not logged at this level")
            }
            val fields = Json.parseToJsonElement(line).jsonObject
                .mapValues { it.value.jsonPrimitive.content }
            fields["message"] shouldBe "placed \"x\""
            fields["work"] shouldBe "c/1"
            fields["customer"] shouldBe "c"
            fields["term"] shouldBe "3"
            fields["host"] shouldBe "kochi-1"
            fields["incarnation"] shouldBe "17"
        }

        test("a text line has the same ids and the stack trace of an exception") {
            val text = captureLog(json = false) {
                withLogFields(work = "c/1") {
                    LogManager.getLogger("test").warn("broke", IllegalStateException("why"))
                }
            }
            text shouldContain "WARN  kochi-1 test [{work=c/1}] broke"
            text shouldContain "IllegalStateException: why"
        }
    })
