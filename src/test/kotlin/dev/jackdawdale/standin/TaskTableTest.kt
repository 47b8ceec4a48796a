package dev.jackdawdale.standin

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskResult
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private fun order(token: Long, payload: String = "", timeLimitMs: Long? = 60_000) =
    TaskOrder("start", "c/j#0", token, 500, 100, 1, timeLimitMs, payload)

class TaskTableTest :
    FunSpec({
        test("a start with a token that is not greater than the last one is refused") {
            val table = TaskTable(1_000, failAll = false)
            table.start(order(5), 0).shouldNotBeNull()
            table.stop(order(5), 10, TaskResult.STOPPED, "cancelled").shouldNotBeNull()
            table.start(order(5), 20).shouldBeNull()
            table.start(order(4), 20).shouldBeNull()
            table.start(order(6), 20).shouldNotBeNull()
        }

        test("a start that arrives after the stop of its task is refused") {
            val table = TaskTable(1_000, failAll = false)
            table.reportNeverStarted(order(7))
            table.start(order(7), 0).shouldBeNull()
            table.ended.single().result shouldBe "NEVER_STARTED"
        }

        test("an end is reported until it is acknowledged") {
            val table = TaskTable(1_000, failAll = false)
            table.start(order(1), 0)
            table.endDue(999) shouldBe emptyList()
            table.endDue(1_500).single().atMs shouldBe 1_000
            table.ended.single().result shouldBe "SUCCEEDED"
            table.acknowledge(listOf(1))
            table.ended shouldBe emptyList()
        }

        test("the declared resources count as in use, not the reported usage") {
            val table = TaskTable(1_000, failAll = false)
            table.start(order(1, "usage_mib=900"), 0)
            table.inUse shouldBe Resources(500, 100, 1)
            table.held.single().usage shouldBe Resources(500, 900, 1)
        }

        context("the payload sets run time and result of the task") {
            withData(
                nameFn = { "payload: ${it.first}" },
                Triple("run_ms=20 fail", 20L, TaskResult.FAILED),
                Triple("text run_ms=5", 5L, TaskResult.SUCCEEDED),
                Triple("", 1_000L, TaskResult.SUCCEEDED)
            ) { (payload, endsAtMs, result) ->
                val task = TaskTable(1_000, failAll = false).start(order(1, payload), 0)
                task?.endsAtMs shouldBe endsAtMs
                task?.result shouldBe result
            }
        }

        test("a service runs until it is stopped") {
            val table = TaskTable(1_000, failAll = false)
            table.start(order(1, timeLimitMs = null), 0)
            table.endDue(Long.MAX_VALUE) shouldBe emptyList()
        }
    })
