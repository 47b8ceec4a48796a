package dev.jackdawdale.proof

import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.testing.CallerAnswer
import dev.jackdawdale.testing.CellPlan
import dev.jackdawdale.testing.Direction
import dev.jackdawdale.testing.LinkFault
import dev.jackdawdale.testing.TestCell
import dev.jackdawdale.testing.violations
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.jsonPrimitive

/** Longer than the lease, its margin and every timeout of the cell. */
private const val LONG_FAULT_MS = 6_000L
private const val BATCH_JOBS = 8

/** A lease of 2 s keeps the tests short; its margin is a quarter of it. */
private val shortLease = mapOf(
    "worker" to listOf("lease_ms = 2000", "lease_margin_ms = 500", "poll_ms = 500")
)

private class TaskFault(
    val name: String,
    val workerOptions: List<String> = emptyList(),
    val inject: TestCell.() -> Unit
)

private fun TestCell.pauseAndResume(vararg ids: String) {
    ids.forEach { process(it).pause() }
    Thread.sleep(LONG_FAULT_MS)
    ids.forEach { process(it).resume() }
}

private fun TestCell.cutOff(id: String) {
    linksOf(id).forEach { link ->
        Direction.entries.forEach { link.set(it, LinkFault.SilentDrop) }
    }
    Thread.sleep(LONG_FAULT_MS)
    heal()
}

private fun TestCell.killAndRestart(id: String) {
    kill(id)
    process(id).start()
}

private val faults = listOf(
    TaskFault("leader killed") { killAndRestart(awaitLeader()) },
    TaskFault("leader paused past every lease") { pauseAndResume(awaitLeader()) },
    TaskFault("leader cut off silently past every lease") { cutOff(awaitLeader()) },
    TaskFault("entry host killed") { killAndRestart("e1") },
    TaskFault("worker killed and restarted") { killAndRestart("w1") },
    TaskFault("worker paused past its lease") { pauseAndResume("w1") },
    TaskFault("worker cut off silently past its lease") { cutOff("w1") },
    TaskFault("worker and leader paused together") { pauseAndResume("w1", awaitLeader()) },
    TaskFault("a worker fails everything it starts", listOf("--fail-all")) {},
    TaskFault("cancellations race with starts and ends") {
        (0 until BATCH_JOBS step 2).forEach { call("DELETE", "/v1/work/batch-$it") }
    }
)

private fun jobJson(id: String, kind: String, count: Int, payload: String, limitMs: Long?): String =
    """{"request_id":"$id","kind":"$kind","task_count":$count,"cpu_millis":1000,
    "memory_mib":1024,"accelerators":0,"time_limit_ms":$limitMs,"urgency":"normal",
    "payload":"$payload"}"""

private fun TestCell.submitJob(id: String, body: String): CallerAnswer {
    var status: Int? = null
    awaitUntil("job $id accepted", 20_000) {
        status = call("POST", "/v1/jobs", body)?.statusCode()
        status == 202
    }
    return CallerAnswer("$CUSTOMER/$id", idempotent = true, sentSha256 = "", status = status)
}

private fun TestCell.submitJobs(): List<CallerAnswer> {
    val batch = (0 until BATCH_JOBS).map {
        val body = jobJson("batch-$it", "batch", 3, "run_ms=${400 + 300 * it}", 60_000)
        submitJob("batch-$it", body)
    }
    val overuse = jobJson("overuse", "batch", 2, "run_ms=1500 usage_mib=4000", 60_000)
    return batch +
        submitJob("overuse", overuse) +
        submitJob("gang", jobJson("gang", "gang", 4, "run_ms=1500", 60_000)) +
        submitJob("service", jobJson("service", "service", 2, "run_ms=3600000", null))
}

private fun TestCell.outcomeOf(id: String): String? =
    json("/v1/work/$id")?.get("outcome")?.jsonPrimitive?.content

/** Checks the guarantees about tasks under each fault. */
class TaskFaultsIT :
    FunSpec({
        withData(nameFn = { it.name }, faults) { fault ->
            TestCell(CellPlan(proxied = true, settings = shortLease)).use { cell ->
                cell.startHosts()
                cell.awaitReady()
                cell.awaitUntil("contract accepted", 10_000) { cell.putContract() == 200 }
                val capacity = arrayOf("--cpu-millis", "6000", "--memory-mib", "8192")
                cell.startWorker("w1", *capacity, *fault.workerOptions.toTypedArray())
                listOf("w2", "w3", "w4").forEach { cell.startWorker(it, *capacity) }
                val accepted = cell.submitJobs()
                cell.awaitUntil("tasks have started", 30_000) {
                    cell.journals().any { it.event == JournalEvent.START }
                }
                fault.inject(cell)
                val finite = accepted.map { it.workId.substringAfter('/') } - "service"
                cell.awaitUntil("finite jobs ended", 90_000) {
                    finite.all { cell.outcomeOf(it) != null }
                }
                cell.awaitUntil("service cancelled", 20_000) {
                    cell.call("DELETE", "/v1/work/service")?.statusCode() in 200..202
                }
                withClue(cell.logs()) {
                    violations(cell.evidence(accepted)).shouldBeEmpty()
                    cell.outcomeOf("gang") shouldBe "succeeded"
                }
            }
        }
    })
