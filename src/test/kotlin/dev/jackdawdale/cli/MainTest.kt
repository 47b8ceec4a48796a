package dev.jackdawdale.cli

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class MainTest :
    FunSpec({
        test("an unknown command is refused with the usage exit code") {
            rootCommandLine().execute("no-such-command") shouldBe 2
        }
    })
