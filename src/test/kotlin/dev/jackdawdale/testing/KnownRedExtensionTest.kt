package dev.jackdawdale.testing

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe

class KnownRedExtensionTest :
    FunSpec({
        val extension = KnownRedExtension(setOf("KnownRedExtensionTest/listed"))

        test("listed") {
            extension.isEnabled(testCase.descriptor).isEnabled shouldBe false
        }

        test("not listed") {
            extension.isEnabled(testCase.descriptor).isEnabled shouldBe true
        }

        test("only lines that name a test count") {
            val file = tempfile()
            file.writeText("# note\ntest: ASpec/a name\ncommand: mvn -B verify\n")
            readKnownRed(file) shouldBe setOf("ASpec/a name")
        }
    })
