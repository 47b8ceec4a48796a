package dev.jackdawdale.proof

import dev.jackdawdale.testing.CellPlan
import dev.jackdawdale.testing.Direction
import dev.jackdawdale.testing.LinkFault
import dev.jackdawdale.testing.TestCell
import dev.jackdawdale.testing.violations
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val SEED = 7L
private const val REQUESTS = 240
private const val CALLER_THREADS = 24
private const val RESULT_TIMEOUT_S = 120L

/** Longer than every lease and timeout of the cell. */
private const val LONG_FAULT_MS = 6_000L

/** A fault injected while requests run; [inject] reverts what it can before it returns. */
private class RequestFault(val name: String, val inject: TestCell.() -> Unit) {
    override fun toString(): String = name
}

private fun sleepMs(ms: Long) = Thread.sleep(ms)

private fun TestCell.killAndRestart(id: String) {
    kill(id)
    sleepMs(500)
    process(id).start()
}

private fun TestCell.pauseAndResume(id: String, pauseMs: Long = LONG_FAULT_MS) {
    process(id).pause()
    sleepMs(pauseMs)
    process(id).resume()
}

private fun TestCell.cutOff(id: String, vararg directions: Direction) {
    linksOf(id).forEach { link ->
        directions.forEach { link.set(it, LinkFault.SilentDrop) }
    }
    sleepMs(LONG_FAULT_MS)
    heal()
}

private val faults = listOf(
    RequestFault("no fault") {},
    RequestFault("leader killed") { killAndRestart(awaitLeader()) },
    RequestFault("leader killed twice") {
        repeat(2) { killAndRestart(awaitLeader()) }
    },
    RequestFault("leader paused") { pauseAndResume(awaitLeader()) },
    RequestFault("follower killed") {
        val leader = awaitLeader()
        killAndRestart(listOf("c1", "c2", "c3").first { it != leader })
    },
    RequestFault("all control hosts killed at once") {
        val ids = listOf("c1", "c2", "c3")
        ids.forEach(::kill)
        sleepMs(500)
        ids.forEach { process(it).start() }
    },
    RequestFault("all control hosts paused at once") {
        val ids = listOf("c1", "c2", "c3")
        ids.forEach { process(it).pause() }
        sleepMs(LONG_FAULT_MS)
        ids.forEach { process(it).resume() }
    },
    RequestFault("entry host killed") { killAndRestart("e1") },
    RequestFault("entry host paused") { pauseAndResume("e1") },
    RequestFault("leader cut off silently, both ways") {
        cutOff(awaitLeader(), Direction.TO_SERVER, Direction.TO_CLIENT)
    },
    RequestFault("leader cut off silently, towards the others only") {
        cutOff(awaitLeader(), Direction.TO_SERVER)
    },
    RequestFault("entry host cut off silently") {
        cutOff("e1", Direction.TO_SERVER, Direction.TO_CLIENT)
    },
    RequestFault("endpoint killed") {
        kill("ep1")
        process("ep1").start()
    },
    RequestFault("endpoint paused") { pauseAndResume("ep1") },
    RequestFault("endpoint connections reset") {
        repeat(5) {
            link("entry", "ep1").reset()
            sleepMs(300)
        }
    },
    RequestFault("leader killed while an entry host is paused") {
        process("e1").pause()
        killAndRestart(awaitLeaderKnownTo("e2"))
        sleepMs(LONG_FAULT_MS)
        process("e1").resume()
    }
)

private fun TestCell.awaitLeaderKnownTo(hostId: String): String {
    var leader: String? = null
    awaitUntil("a leader known to $hostId", 30_000) {
        leader = json("/v1/cell", hostId)?.get("leader")?.toString()?.trim('"')
        leader != null
    }
    return checkNotNull(leader)
}

private fun requests(): List<CallerRequest> {
    val random = Random(SEED)
    return List(REQUESTS) { number ->
        val isLong = number % 10 == 0
        val runMs = if (isLong) random.nextLong(500, 1_500) else random.nextLong(5, 120)
        CallerRequest(
            requestId = "r$number",
            body = "run_ms=$runMs answer_bytes=${random.nextInt(20_000)} pane $number",
            idempotent = number % 2 == 0,
            kind = if (isLong) "nesting" else "check"
        )
    }
}

/** Checks the guarantees about requests under each fault. [SEED] determines the requests. */
class RequestFaultsIT :
    FunSpec({
        withData(nameFn = { it.name }, faults) { fault ->
            TestCell(CellPlan(proxied = true)).use { cell ->
                cell.startHosts()
                cell.awaitReady()
                cell.awaitUntil("contract accepted", 10_000) { cell.putContract() == 200 }
                listOf("ep1", "ep2", "ep3").forEach {
                    cell.startEndpoint(it, "planning", "--slots", "4")
                }
                val urls = cell.entryHosts.map { cell.url(it.id) }
                Callers(urls, CALLER_THREADS).use { callers ->
                    val pending = requests().map { callers.send(it) }
                    cell.awaitUntil("the load has started", 30_000) { callers.answers.size > 20 }
                    fault.inject(cell)
                    CompletableFuture.allOf(*pending.toTypedArray())
                        .get(RESULT_TIMEOUT_S, TimeUnit.SECONDS)
                    withClue("requests without a conclusive answer\n${cell.logs()}") {
                        pending.map { it.get() }.filter { !it.isConclusive }.shouldBeEmpty()
                    }
                    withClue(cell.logs()) {
                        violations(cell.evidence(callers.answers)).shouldBeEmpty()
                    }
                }
            }
        }
    })
