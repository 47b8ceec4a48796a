package dev.jackdawdale.entry

import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.testing.conditionTimeout
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.Reply
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger

private const val OK = "HTTP/1.1 200 OK\r\n"
private const val SHORT = "${OK}Content-Length: 2\r\n\r\nok"

/** Makes the leader replace each dispatch by the result of [change]. */
private fun EntryFixture.dispatchWith(
    change: (ControlMessage.Dispatch) -> List<ControlMessage.Dispatch>
) {
    leader.onCommand = { session, command ->
        val submit = command as Command.SubmitRequest
        change(leader.dispatchOf(submit)).forEach { session.send(it) }
        Reply.Work(leader.statusOf(submit.workId))
    }
}

/** Each test is named after the failure that it guards against. */
class DispatchTest :
    FunSpec({
        context("an incomplete response reaches the caller or its connection is reused") {
            withData(
                mapOf(
                    "cut before its length" to "${OK}Content-Length: 10\r\n\r\nshort",
                    "no end marked" to "${OK}Content-Type: a/b\r\n\r\nwhole?",
                    "cut inside a chunk" to "${OK}Transfer-Encoding: chunked\r\n\r\n5\r\nab",
                    "no last chunk" to "${OK}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                    "a bad chunk" to "${OK}Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                    "two lengths" to "${OK}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    "no HTTP" to "hello\r\n\r\n",
                    "nothing" to "",
                    "only an interim response" to "HTTP/1.1 100 Continue\r\n\r\n",
                    "over the size limit" to
                        "${OK}Content-Length: 2000000\r\n\r\n" + "x".repeat(1_100_000)
                )
            ) { answer ->
                val first = AtomicInteger()
                val serve = { socket: Socket, _: String ->
                    if (first.getAndIncrement() == 0) {
                        socket.answer(answer)
                        socket.close()
                    } else {
                        socket.answer(SHORT)
                    }
                }
                EntryFixture(serve = serve).use { fixture ->
                    fixture.awaitReady()
                    val got = fixture.submit("r1")
                    got.statusCode() shouldBe 502
                    got.body() shouldContain "\"ran\":\"unknown\""
                    val result = fixture.leader.finished.single().result
                    result.shouldBeInstanceOf<AttemptResult.Broken>()
                    fixture.submit("r2").body() shouldBe "ok"
                    fixture.endpoint.connections.size shouldBe 2
                }
            }
        }

        context("a complete response is lost or its connection is handled wrongly") {
            withData(
                mapOf(
                    "with a length" to ("${OK}Content-Length: 2\r\n\r\nok" to 1),
                    "in chunks" to
                        ("${OK}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" to 1),
                    "after an interim response" to ("HTTP/1.1 100 Continue\r\n\r\n$SHORT" to 1),
                    "with Connection: close" to
                        ("${OK}Connection: close\r\nContent-Length: 2\r\n\r\nok" to 2),
                    "followed by bytes after its end" to
                        ("${SHORT}HTTP/1.1 200 OK\r\n" to 2)
                )
            ) { (answer, connections) ->
                EntryFixture(serve = { socket, _ -> socket.answer(answer) }).use { fixture ->
                    fixture.awaitReady()
                    repeat(2) {
                        fixture.submit("r$it").body() shouldBe "ok"
                        eventually(conditionTimeout) { fixture.host.isDispatcherIdle shouldBe true }
                    }
                    fixture.endpoint.connections.size shouldBe connections
                }
            }
        }

        test("a response after the deadline is taken for the response to the next request") {
            val late = CountDownLatch(1)
            val serve = { socket: Socket, request: String ->
                if ("slow" in request) {
                    late.await()
                    runCatching { socket.answer("${OK}Content-Length: 4\r\n\r\nlate") }
                } else {
                    socket.answer(SHORT)
                }
                Unit
            }
            EntryFixture(serve = serve).use { fixture ->
                fixture.awaitReady()
                val deadline = mapOf("Jackdawdale-Deadline-Ms" to "50")
                fixture.submit("r1", "slow", deadline).statusCode() shouldBe 502
                late.countDown()
                repeat(20) { fixture.submit("n$it").body() shouldBe "ok" }
            }
        }

        context("a dispatch that must not start reaches the endpoint") {
            withData(
                mapOf<String, (ControlMessage.Dispatch) -> ControlMessage.Dispatch>(
                    "expired" to { it.copy(validForMs = 0) },
                    "past its deadline" to { it.copy(deadlineInMs = 0) },
                    "a closed port" to { it.copy(port = 1) },
                    "a host name as address" to { it.copy(address = "endpoint.example") },
                    "a port out of range" to { it.copy(port = 70_000) }
                )
            ) { change ->
                EntryFixture().use { fixture ->
                    fixture.awaitReady()
                    fixture.dispatchWith { listOf(change(it)) }
                    val got = fixture.submit("r1")
                    got.statusCode() shouldBe 503
                    got.body() shouldContain "\"ran\":\"no\""
                    val result = fixture.leader.finished.single().result
                    result.shouldBeInstanceOf<AttemptResult.NotSent>()
                    fixture.endpoint.requests.size shouldBe 0
                }
            }
        }

        test("a dispatch of a lower term or with a duplicate token runs") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.leader.term = 7
                fixture.leader.sendConfiguration()
                eventually(conditionTimeout) { fixture.host.client.highestTerm shouldBe 7 }
                fixture.dispatchWith {
                    listOf(it.copy(term = 6, token = FencingToken(99)), it, it, it)
                }
                fixture.submit("r1").body() shouldBe "plan"
                eventually(conditionTimeout) { fixture.host.isDispatcherIdle shouldBe true }
                fixture.dispatchWith { listOf(it.copy(token = FencingToken(1)), it) }
                fixture.submit("r2").body() shouldBe "plan"
                fixture.endpoint.requests.size shouldBe 2
                fixture.leader.finished.map { it.token.value } shouldBe listOf(1L, 2L)
            }
        }

        test("more idle connections are kept than the leader allows") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.dispatchWith { listOf(it.copy(maxIdleConnections = 0)) }
                repeat(3) { fixture.submit("r$it").body() shouldBe "plan" }
                fixture.endpoint.connections.size shouldBe 3
            }
        }
    })
