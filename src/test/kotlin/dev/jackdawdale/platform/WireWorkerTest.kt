package dev.jackdawdale.platform

import dev.jackdawdale.push.ListedEnd
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val REPORT = """{"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1",
"slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},
"labels":["a","r1-3"],"clockMs":482113,"born":1700000000000,"sequence":4}"""

private class MalformedCase(val name: String, val body: String)

class WireWorkerTest :
    FunSpec({
        context("a malformed report is rejected") {
            withData(
                nameFn = { it.name },
                MalformedCase("a field is missing", REPORT.replace("\"zone\":\"z\",", "")),
                MalformedCase(
                    "a field of another type",
                    REPORT.replace("\"sequence\":4", "\"sequence\":\"4\"")
                ),
                MalformedCase("an unknown state", REPORT.replace("ready", "resting")),
                MalformedCase("no capacity", REPORT.replace("capacity", "size")),
                MalformedCase("not JSON", "\u0000\u0001"),
                MalformedCase("empty", "")
            ) { case ->
                shouldThrow<MalformedBody> {
                    decodeWorkerRegistration("i-1", case.body.encodeToByteArray())
                }
            }
        }

        test("a valid report is decoded into the project's types") {
            val registration = decodeWorkerRegistration("i-1", REPORT.encodeToByteArray())
            registration.sequence shouldBe 4
            registration.worker.boot shouldBe 1_700_000_000_000
            registration.worker.cpuMillis shouldBe 16_000
            registration.worker.draining shouldBe false
        }

        test("a malformed row of a list does not hide the others") {
            val lists = """{"clockMs":5,"born":9,"running":[["a.0.1.2",3,"",50],["a.0.1"],7],
                "endedRuns":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"vanished",""]]}"""
            val report = decodeRunReport(lists.encodeToByteArray())
            report.boot shouldBe 9
            report.running.map { it.taskId.index } shouldBe listOf(2)
            report.ended.map { it.end } shouldBe listOf(ListedEnd.DONE)
        }

        context("a list with the maximum number of ends says that there are more") {
            withData(
                mapOf("499 ends" to (499 to false), "500 ends" to (500 to true))
            ) { (count, hasMoreEnds) ->
                val rows = (1..count).joinToString(",") { """[$it,"a.0.1.$it",1,"done",""]""" }
                val report =
                    decodeRunReport("""{"clockMs":5,"endedRuns":[$rows]}""".encodeToByteArray())
                report.ended.size shouldBe count
                report.hasMoreEnds shouldBe hasMoreEnds
            }
        }
    })
