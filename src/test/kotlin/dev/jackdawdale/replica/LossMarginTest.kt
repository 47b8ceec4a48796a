package dev.jackdawdale.replica

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val HOSTS = 5
private const val LIMIT_MS = 30_000L

private class MarginRow(val name: String, val margin: Int, val lose: (TestCell) -> Unit)

private fun TestCell.followers() = nodes.values.filter { it != leader && it.replica != null }

private val rows = listOf(
    MarginRow("all voters answer", margin = 2) {},
    MarginRow("a voter is down", margin = 1) { it.followers().first().crash() },
    MarginRow("a voter is cut off", margin = 1) { it.cutOff += it.followers().first().hostId },
    MarginRow("two voters are down", margin = 0) { cell ->
        cell.followers().take(2).forEach { it.crash() }
    },
    MarginRow("the leader is down", margin = 1) { it.leader!!.crash() }
)

class LossMarginTest :
    FunSpec({
        context("operators are told a wrong number of control hosts that they can lose") {
            withData(nameFn = { it.name }, rows) { row ->
                val cell = TestCell(seed = 4, HOSTS)
                cell.startAll()
                cell.runUntil(LIMIT_MS) { cell.leader?.toleratedLosses == 2 } shouldBe true
                row.lose(cell)
                cell.runFor(LIMIT_MS)
                cell.leader!!.toleratedLosses shouldBe row.margin
                cell.leader!!.replica!!.status(cell.nowMs).toleratedLosses shouldBe row.margin
                cell.followers().forEach { it.toleratedLosses shouldBe null }
            }
        }

        test("a new leader counts voters that it has not heard from") {
            val cell = TestCell(seed = 4, HOSTS)
            cell.startAll()
            cell.runUntil(LIMIT_MS) { cell.leader?.toleratedLosses == 2 } shouldBe true
            val old = cell.leader!!
            cell.followers().first().crash()
            old.crash()
            cell.runUntil(LIMIT_MS) { cell.leader.let { it != null && it != old } } shouldBe true
            val margins = mutableSetOf<Int>()
            cell.runUntil(LIMIT_MS) {
                cell.leader?.toleratedLosses?.let(margins::add)
                false
            }
            margins shouldBe setOf(0)
        }
    })
