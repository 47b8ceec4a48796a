package dev.jackdawdale.proof

import dev.jackdawdale.testing.CellPlan
import dev.jackdawdale.testing.TestCell
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

private const val MISSED_CHANGES = 300

private fun TestCell.changeContract(
    expectedVersion: Int,
    changeId: String,
    hostId: String = "e1",
    maxTasks: Int = 100
): HttpResponse<String> {
    var response: HttpResponse<String>? = null
    awaitUntil("an answer to contract change $changeId", 30_000) {
        val body = contractJson(expectedVersion, changeId, maxTasks)
        response = call("PUT", "/v1/contracts/$CUSTOMER", body, hostId)
            ?.takeIf { it.statusCode() != 503 }
        response != null
    }
    return checkNotNull(response)
}

private fun HttpResponse<String>.contractVersion(): Int =
    Json.parseToJsonElement(body()).jsonObject.getValue("version").jsonPrimitive.int

private fun TestCell.versionAt(hostId: String): Int? =
    json("/v1/contracts/$CUSTOMER", hostId)?.get("version")?.jsonPrimitive?.int

private fun TestCell.startAndAwaitReady(): TestCell {
    startHosts()
    awaitReady()
    return this
}

class ContractFaultsIT :
    FunSpec({
        test("one of two changes to the same version is refused; a resend gets its first answer") {
            TestCell().use { cell ->
                cell.startAndAwaitReady()
                cell.changeContract(0, "first").contractVersion() shouldBe 1
                val race = listOf("e1" to "left", "e2" to "right").map { (host, id) ->
                    CompletableFuture.supplyAsync { cell.changeContract(1, id, host) }
                }.map { it.get() }
                race.map { it.statusCode() }.shouldContainExactlyInAnyOrder(200, 409)
                val winner = if (race[0].statusCode() == 200) "left" else "right"
                race.first { it.statusCode() == 409 }.body() shouldContain winner
                cell.changeContract(2, "later").contractVersion() shouldBe 3
                val resent = cell.changeContract(1, winner, "e2")
                resent.statusCode() to resent.contractVersion() shouldBe (200 to 2)
            }
        }

        test("a replica that missed $MISSED_CHANGES changes catches up and no change is undone") {
            TestCell().use { cell ->
                cell.startAndAwaitReady()
                val follower = listOf("c1", "c2", "c3").first { it != cell.awaitLeader() }
                cell.kill(follower)
                repeat(MISSED_CHANGES) {
                    cell.changeContract(it, "change-$it").statusCode() shouldBe 200
                }
                cell.process(follower).start()
                cell.awaitUntil("$follower caught up", 30_000) { cell.hasCaughtUp(follower) }
                val other = listOf("c1", "c2", "c3").first { it != follower }
                cell.kill(other)
                cell.awaitUntil("a quorum with the restarted replica answers", 30_000) {
                    cell.versionAt("e1") == MISSED_CHANGES && cell.versionAt("e2") == MISSED_CHANGES
                }
            }
        }

        test("an accepted change is not lost when all hosts are killed at once") {
            TestCell().use { cell ->
                cell.startAndAwaitReady()
                cell.changeContract(0, "first").contractVersion() shouldBe 1
                cell.changeContract(1, "second", maxTasks = 7).contractVersion() shouldBe 2
                cell.hosts.forEach { cell.kill(it.id) }
                cell.startHosts()
                cell.awaitReady()
                cell.awaitUntil("version 2 everywhere", 30_000) {
                    listOf("e1", "e2").all { cell.versionAt(it) == 2 }
                }
                cell.changeContract(1, "stale").statusCode() shouldBe 409
            }
        }

        test("no accepted change is lost if a host fails right after a lost disk was repaired") {
            TestCell().use { cell ->
                cell.startAndAwaitReady()
                cell.changeContract(0, "first").contractVersion() shouldBe 1
                val follower = listOf("c1", "c2", "c3").first { it != cell.awaitLeader() }
                cell.kill(follower)
                cell.changeContract(1, "second").contractVersion() shouldBe 2
                cell.removeDataFolder(follower)
                cell.process(follower).start()
                cell.awaitUntil("$follower is a voter again", 60_000) { cell.hasCaughtUp(follower) }
                val other = listOf("c1", "c2", "c3").first { it != follower }
                cell.kill(other)
                cell.awaitUntil("version 2 everywhere", 30_000) {
                    listOf("e1", "e2").all { cell.versionAt(it) == 2 }
                }
                cell.changeContract(2, "third").contractVersion() shouldBe 3
            }
        }

        test("an entry host without a leader refuses work instead of using an old contract") {
            TestCell(CellPlan(proxied = true)).use { cell ->
                cell.startAndAwaitReady()
                cell.changeContract(0, "first").contractVersion() shouldBe 1
                cell.isolate("e1")
                val request = CallerRequest("r1", "run_ms=1", idempotent = true, kind = "k")
                val direct = "http://127.0.0.1:${cell.hosts.first { it.id == "e1" }.http}"
                Callers(listOf(direct), 1).use { callers ->
                    cell.awaitUntil("e1 refuses", 10_000) {
                        val answer = callers.send(request, timeoutMs = 0).get()
                        answer.status == 503
                    }
                }
            }
        }
    })
