package dev.jackdawdale.telemetry

import dev.jackdawdale.testing.CapturedLog
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class DecisionLogTest :
    FunSpec({
        test("lines above the limit of a second are dropped and counted in the next second") {
            val recorded = CapturedLog()
            val decisions = DecisionLog(recorded.logger, linesPerS = 4)
            repeat(7) { decisions.line(1_000, "j") { "line $it" } }
            recorded.lines shouldHaveSize 4
            decisions.line(2_000, "j") { "next" }
            recorded.lines shouldHaveSize 6
            recorded.lines[4] shouldContain "3 decision lines were left out"
        }

        test("minor lines do not displace the other lines of a second") {
            val recorded = CapturedLog()
            val decisions = DecisionLog(recorded.logger, linesPerS = 16)
            repeat(20) { decisions.line(1_000, "j", minor = true) { "minor" } }
            repeat(14) { decisions.line(1_001, "j") { "major" } }
            recorded.lines.count { "minor" in it } shouldBe 2
            recorded.lines.count { "major" in it } shouldBe 14
        }

        test("dropped minor lines are counted") {
            val recorded = CapturedLog()
            val decisions = DecisionLog(recorded.logger, linesPerS = 16)
            repeat(10) { decisions.line(1_000, "j", minor = true) { "minor" } }
            decisions.line(2_000, "j") { "next" }
            recorded.lines[2] shouldContain "8 decision lines were left out"
        }
    })
