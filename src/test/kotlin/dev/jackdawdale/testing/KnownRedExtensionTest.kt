package dev.jackdawdale.testing

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe

class KnownRedExtensionTest :
    FunSpec({
        val extension = KnownRedExtension(setOf("KnownRedExtensionTest/a listed test is skipped"))

        test("a listed test is skipped") {
            extension.isEnabled(testCase.descriptor).isEnabled shouldBe false
        }

        test("a test that is not listed runs") {
            extension.isEnabled(testCase.descriptor).isEnabled shouldBe true
        }

        test("only lines that name a test are read") {
            val file = tempfile()
            file.writeText("# note\ntest: ASpec/a name\ncommand: mvn -B verify\n")
            readKnownRed(file) shouldBe setOf("ASpec/a name")
        }
    })
