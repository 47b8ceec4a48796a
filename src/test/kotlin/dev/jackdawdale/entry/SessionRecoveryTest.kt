package dev.jackdawdale.entry

import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.testing.conditionTimeout
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Reply
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

private fun EntryFixture.dropSessions() = leader.sessions.forEach { it.close() }

/** Each test is named after the failure that it guards against. */
class SessionRecoveryTest :
    FunSpec({
        test("a result is lost when a session ends before its acknowledgement") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.leader.acknowledges = false
                val caller = thread { runCatching { fixture.submit("r1") } }
                eventually(conditionTimeout) { fixture.leader.finished.size shouldBe 1 }
                repeat(2) { round ->
                    fixture.dropSessions()
                    eventually(conditionTimeout) { fixture.leader.finished.size shouldBe round + 2 }
                    fixture.leader.sessionOpens.last().held.map { it.workId } shouldContainExactly
                        listOf(WorkId("acme/r1"))
                }
                fixture.leader.finished.toSet().size shouldBe 1
                fixture.leader.acknowledges = true
                fixture.dropSessions()
                eventually(conditionTimeout) { fixture.host.isDispatcherIdle shouldBe true }
                caller.join()
                fixture.endpoint.requests.size shouldBe 1
            }
        }

        test("an attempt in flight is lost with its session or not reported as held") {
            val go = CountDownLatch(1)
            val serve = { socket: Socket, _: String ->
                go.await()
                socket.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nplan")
            }
            EntryFixture(serve = serve).use { fixture ->
                fixture.awaitReady()
                coroutineScope {
                    val caller = async(Dispatchers.IO) { fixture.submit("r1") }
                    eventually(conditionTimeout) { fixture.endpoint.requests.size shouldBe 1 }
                    fixture.leader.onCommand = { _, command ->
                        Reply.Work(
                            fixture.leader.statusOf((command as Command.SubmitRequest).workId)
                        )
                    }
                    fixture.dropSessions()
                    // The resubmission tells the new leader about the waiting caller.
                    eventually(conditionTimeout) { fixture.leader.commands.size shouldBe 2 }
                    fixture.leader.sessionOpens.last().held.single()
                        .shouldBe(HeldAttempt(WorkId("acme/r1"), fixture.tokenOf("acme/r1")))
                    go.countDown()
                    caller.await().body() shouldBe "plan"
                }
            }
        }

        test("a caller whose request ended between two sessions gets no answer") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.leader.acknowledges = false
                coroutineScope {
                    val caller = async(Dispatchers.IO) { fixture.submit("r1") }
                    eventually(conditionTimeout) { fixture.leader.finished.size shouldBe 1 }
                    fixture.leader.acknowledges = true
                    fixture.dropSessions()
                    caller.await().body() shouldBe "plan"
                }
            }
        }

        test("a caller that disconnects cancels its work") {
            val go = CountDownLatch(1)
            val serve = { socket: Socket, _: String ->
                go.await()
                socket.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nplan")
            }
            EntryFixture(serve = serve).use { fixture ->
                fixture.awaitReady()
                val head = "POST /v1/services/planning/requests HTTP/1.1\r\n" +
                    "Authorization: Bearer $ACME_TOKEN\r\nJackdawdale-Request-Id: r1\r\n" +
                    "Content-Length: 4\r\n\r\npane"
                fixture.raw(head.toByteArray(), maxMs = 200) shouldBe ""
                go.countDown()
                fixture.submit("r1").body() shouldBe "plan"
                fixture.endpoint.requests.size shouldBe 1
            }
        }

        test("new work is accepted with a stale configuration or refused with a fresh one") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.leader.sendsConfiguration = false
                eventually(conditionTimeout) { fixture.submit("r1").statusCode() shouldBe 503 }
                fixture.submit("r1").body() shouldContain "configuration_stale"
                fixture.call("GET", "/ready").statusCode() shouldBe 503
                fixture.call("GET", "/live").statusCode() shouldBe 200
                fixture.leader.sendsConfiguration = true
                eventually(conditionTimeout) { fixture.submit("r2").body() shouldBe "plan" }
            }
        }

        test("a contract goes back to an older version on a new session or from an older term") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                val second = sampleContract("acme", version = 2)
                    .copy(tokenHashes = listOf(hashToken("acme:second")))
                val first = fixture.leader.contracts
                fixture.leader.contracts = listOf(second)
                fixture.leader.sendConfiguration()
                eventually(conditionTimeout) { fixture.submit("r1").statusCode() shouldBe 401 }
                fixture.leader.contracts = first
                fixture.dropSessions()
                eventually(conditionTimeout) { fixture.leader.sessionOpens.size shouldBe 2 }
                fixture.awaitReady()
                fixture.submit("r1").statusCode() shouldBe 401
                val held = fixture.host.contracts
                val later = fixture.leader.configuration(atTerm = 9)
                held.update(later.copy(contracts = emptyList(), validForMs = 0), System.nanoTime())
                held.update(fixture.leader.configuration(atTerm = 8), System.nanoTime())
                held.isFresh(System.nanoTime()) shouldBe false
            }
        }

        test("a drain cuts off callers, accepts new work or does not end") {
            val go = CountDownLatch(1)
            val serve = { socket: Socket, _: String ->
                go.await()
                socket.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nplan")
            }
            EntryFixture(EntrySettings(drainGraceMs = 100), serve = serve).use { fixture ->
                fixture.awaitReady()
                coroutineScope {
                    val caller = async(Dispatchers.IO) { fixture.submit("r1") }
                    eventually(conditionTimeout) { fixture.endpoint.requests.size shouldBe 1 }
                    val drained = async(Dispatchers.IO) { fixture.host.awaitDrained() }
                    eventually(conditionTimeout) {
                        fixture.call("GET", "/ready").statusCode() shouldBe 503
                    }
                    eventually(conditionTimeout) {
                        val async = mapOf("Prefer" to "respond-async")
                        fixture.submit("r2", headers = async).body() shouldContain
                            "\"error\":\"draining\""
                    }
                    drained.isCompleted shouldBe false
                    go.countDown()
                    caller.await().body() shouldBe "plan"
                    drained.await() shouldBe true
                    fixture.server.drain(timeoutMs = 10_000) shouldBe true
                }
            }
        }
    })

private fun EntryFixture.tokenOf(workId: String) =
    host.heldAttempts().single { it.workId == WorkId(workId) }.token
