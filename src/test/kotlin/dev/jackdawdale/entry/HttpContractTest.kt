package dev.jackdawdale.entry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import kotlin.random.Random

private const val SEED = 78L
private const val REQUESTS = "/v1/services/planning/requests"

/** An invalid call, and the error that it must get; [mentions] is part of its message. */
private class BadCall(
    val method: String,
    val path: String,
    val status: Int,
    val error: String,
    val mentions: String = "",
    val body: String = "",
    val token: String? = ACME_TOKEN,
    val headers: Map<String, String> = mapOf("Jackdawdale-Request-Id" to "r1")
)

private fun submit(header: String, value: String, mentions: String = header) = BadCall(
    "POST",
    REQUESTS,
    400,
    if (header == "Jackdawdale-Request-Id") "invalid" else "bad_header",
    mentions,
    headers = mapOf("Jackdawdale-Request-Id" to "r1") + mapOf(header to value)
)

private fun job(body: String, error: String, mentions: String) =
    BadCall("POST", "/v1/jobs", 400, error, mentions, body)

private fun jobWith(field: String, value: String) = job(
    """{"request_id": "j1", "kind": "batch", "cpu_millis": 1, "memory_mib": 1, "$field": $value}"""
        .replaceFirst(Regex("\"$field\": 1, "), ""),
    "invalid",
    field
)

private fun member(path: String, body: String, mentions: String, error: String = "invalid") =
    BadCall("POST", path, 400, error, mentions, body, MEMBER_TOKEN)

private fun endpoint(address: String = "127.0.0.1", slots: Int = 8, connections: Int = 60) =
    """{"incarnation": 1, "service": "planning", "address": "$address", "port": 9000,
        "slots": $slots, "connections": $connections}"""

private fun contract(extra: String) = """{"ceiling": {}, "max_running_tasks": 1,
    "max_running_requests": 1, "request_rate_per_sec": 1, "request_burst": 1,
    "max_queued_requests": 1, "max_queued_jobs": 1$extra}"""

private fun put(body: String, mentions: String, error: String = "invalid") =
    BadCall("PUT", "/v1/contracts/acme", 400, error, mentions, body, OPERATOR_TOKEN)

private val badCalls: Map<String, BadCall> = mapOf(
    "no token" to BadCall("POST", REQUESTS, 401, "unauthorized", token = null),
    "a wrong secret" to BadCall("POST", REQUESTS, 401, "unauthorized", token = "acme:guess"),
    "an unknown customer" to BadCall("POST", REQUESTS, 401, "unauthorized", token = "nobody:x"),
    "a token without a name" to BadCall("POST", REQUESTS, 401, "unauthorized", token = "secret"),
    "another kind of token" to BadCall("POST", REQUESTS, 403, "forbidden", token = MEMBER_TOKEN),
    "a customer as operator" to BadCall("GET", "/v1/contracts", 403, "forbidden"),
    "a customer as worker" to BadCall("POST", "/v1/workers/w/announce", 403, "forbidden"),
    "another customer's status" to
        BadCall("GET", "/v1/work/r1?customer=other", 403, "forbidden"),
    "another customer's records" to BadCall("GET", "/v1/records?customer=other", 403, "forbidden"),
    "another customer's cancellation" to
        BadCall("DELETE", "/v1/work/r1?customer=other", 403, "forbidden"),
    "an operator without a customer" to
        BadCall("GET", "/v1/work/r1", 400, "invalid", "customer", token = OPERATOR_TOKEN),
    "an unknown path" to BadCall("GET", "/v1/nothing", 404, "unknown_path"),
    "a wrong method" to BadCall("GET", "/v1/jobs", 405, "wrong_method", "POST"),
    "an id of wrong characters" to BadCall("GET", "/v1/work/a%20b", 400, "invalid", "request_id"),
    "an unknown parameter" to
        BadCall("GET", "/v1/records?form_ms=1", 400, "unknown_parameter", "form_ms"),
    "a negative time" to BadCall("GET", "/v1/records?from_ms=-1", 400, "invalid", "from_ms"),
    "no request id" to
        BadCall("POST", REQUESTS, 400, "bad_header", "Request-Id", headers = emptyMap()),
    "an empty request id" to submit("Jackdawdale-Request-Id", ""),
    "a long request id" to submit("Jackdawdale-Request-Id", "x".repeat(129)),
    "a flag that is not true or false" to submit("Jackdawdale-Idempotent", "yes"),
    "a negative deadline" to submit("Jackdawdale-Deadline-Ms", "-1"),
    "a deadline that is not a number" to submit("Jackdawdale-Deadline-Ms", "1e3"),
    "a deadline over the limit" to submit("Jackdawdale-Deadline-Ms", "9000000000"),
    "a declared time of zero" to submit("Jackdawdale-Declared-Ms", "0"),
    "an unknown urgency" to submit("Jackdawdale-Urgency", "now"),
    "a body over the limit" to
        BadCall("POST", REQUESTS, 413, "body_too_large", "1048576", "x".repeat(1_048_577)),
    "headers over the limit" to BadCall(
        "POST",
        REQUESTS,
        431,
        "headers_too_large",
        headers = mapOf("X" to "y".repeat(20_000))
    ),
    "broken JSON" to job("{\"request_id\": ", "malformed_json", ""),
    "bytes that are not JSON" to job("\uD800{", "malformed_json", ""),
    "an unknown field" to job("""{"request_ids": "x"}""", "malformed_json", "request_ids"),
    "a missing field" to job("""{"request_id": "x"}""", "malformed_json", "cpu_millis"),
    "an unknown job kind" to job(
        """{"request_id": "x", "kind": "cron", "cpu_millis": 1, "memory_mib": 1}""",
        "malformed_json",
        "cron"
    ),
    "negative processors" to jobWith("cpu_millis", "-1"),
    "negative memory" to jobWith("memory_mib", "-1"),
    "negative accelerators" to jobWith("accelerators", "-1"),
    "more processors than any cell has" to jobWith("cpu_millis", "9223372036854775807"),
    "memory over 64 bits" to job(
        """{"request_id": "x", "kind": "batch", "cpu_millis": 1, "memory_mib": 99999999999999999999}""",
        "malformed_json",
        "overflow"
    ),
    "deep nesting in an unknown field" to
        job("""{"other": ${"[".repeat(10_000)}${"]".repeat(10_000)}}""", "malformed_json", "deep"),
    "no tasks" to jobWith("task_count", "0"),
    "too many tasks" to jobWith("task_count", "2000000000"),
    "a time limit of zero" to jobWith("time_limit_ms", "0"),
    "a host name as address" to
        member("/v1/endpoints/e/announce", endpoint(address = "localhost"), "address"),
    "an endpoint without slots" to
        member("/v1/endpoints/e/announce", endpoint(slots = 0), "slots"),
    "fewer connections than slots" to
        member("/v1/endpoints/e/announce", endpoint(connections = 7), "connections"),
    "a worker of negative size" to member(
        "/v1/workers/w/announce",
        """{"incarnation": 1, "cpu_millis": -5, "memory_mib": 1}""",
        "cpu_millis"
    ),
    "a worker of any size" to member(
        "/v1/workers/w/announce",
        """{"incarnation": 1, "cpu_millis": 9223372036854775807, "memory_mib": 1}""",
        "cpu_millis"
    ),
    "a negative token" to member(
        "/v1/workers/w/announce",
        """{"incarnation": 1, "cpu_millis": 5, "memory_mib": 1,
            "running": [{"task_id": "t", "token": -1}]}""",
        "token"
    ),
    "a change without a version" to put(contract(""", "change_id": "c" """), "expected_version"),
    "a change without an id" to put(contract(""", "expected_version": 1"""), "change_id"),
    "a contract of another customer" to put(
        contract(""", "expected_version": 1, "change_id": "c", "customer_id": "other" """),
        "customer_id"
    ),
    "a negative limit" to put(
        contract(""", "expected_version": 1, "change_id": "c", "weight": 0"""),
        "weight"
    ),
    "an unknown enum value" to put(
        contract(""", "expected_version": 1, "change_id": "c", "when_full": "panic" """),
        "when_full"
    )
)

/** Each test is named after the failure that it guards against. */
class HttpContractTest :
    FunSpec({
        lateinit var fixture: EntryFixture
        beforeSpec { fixture = EntryFixture().awaitReady() }
        afterSpec { fixture.close() }

        context("an invalid call has an effect or gets the wrong error") {
            withData(badCalls) { bad ->
                val got = bad.run { fixture.call(method, path, body, token, headers) }
                withClue(got.body()) { got.statusCode() shouldBe bad.status }
                got.body() shouldContain "\"error\":\"${bad.error}\""
                got.body() shouldContain "\"ran\":\"no\""
                got.body() shouldContain bad.mentions
                fixture.leader.commands.size shouldBe 0
                fixture.endpoint.requests.size shouldBe 0
            }
        }

        context("a malformed HTTP/1.1 request has an effect or gets no error") {
            val head = "POST $REQUESTS HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $ACME_TOKEN\r\n"
            withData(
                mapOf(
                    "not HTTP" to ("hello\r\n\r\n" to "HTTP/1.1 400"),
                    "a broken escape" to ("GET /v1/work/%zz HTTP/1.1\r\n\r\n" to "HTTP/1.1 400"),
                    "a negative length" to ("${head}Content-Length: -1\r\n\r\n" to "HTTP/1.1 400"),
                    "two lengths" to (
                        "${head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab" to "HTTP/1.1 400"
                        ),
                    "a bad chunk" to (
                        "${head}Transfer-Encoding: chunked\r\n\r\nzz\r\n" to "HTTP/1.1 400"
                        ),
                    "a repeated request id" to (
                        "${head}Jackdawdale-Request-Id: a\r\nJackdawdale-Request-Id: b\r\n" +
                            "Connection: close\r\nContent-Length: 0\r\n\r\n" to "HTTP/1.1 400"
                        ),
                    "a large body announced" to (
                        "${head}Expect: 100-continue\r\nContent-Length: 99999999\r\n\r\n" to
                            "HTTP/1.1 413"
                        )
                )
            ) { (bytes, answer) ->
                fixture.raw(bytes.toByteArray()) shouldStartWith answer
                fixture.leader.commands.size shouldBe 0
            }
        }

        test("random bytes have an effect or stop the server (seed $SEED)") {
            val random = Random(SEED)
            repeat(200) {
                fixture.raw(random.nextBytes(1 + random.nextInt(300)), maxMs = 5)
            }
            fixture.leader.commands.size shouldBe 0
            fixture.call("GET", "/live").statusCode() shouldBe 200
        }

        test("pipelined calls are lost or answered out of order") {
            val calls = "GET /live HTTP/1.1\r\n\r\n".repeat(5_000) + "GET /x HTTP/1.0\r\n\r\n"
            val answers = fixture.raw(calls.toByteArray()).split("HTTP/1.1 ").drop(1)
            answers.size shouldBe 5_001
            answers.dropLast(1).all { it.startsWith("200") } shouldBe true
            answers.last() shouldStartWith "404"
        }

        test("mode none ignores the customer header or is allowed off loopback") {
            EntryFixture(http = HttpSettings(authMode = AuthMode.NONE)).use { open ->
                open.awaitReady()
                val headers = mapOf("Jackdawdale-Request-Id" to "r1")
                open.call("POST", REQUESTS, headers = headers).statusCode() shouldBe 401
                val named = headers + (CUSTOMER_HEADER to "acme")
                open.call("POST", REQUESTS, headers = named).body() shouldBe "plan"
            }
            val exposed = HttpSettings(address = "0.0.0.0", authMode = AuthMode.NONE)
            httpServer(exposed, emptyList()).use { server ->
                runCatching { server.start() }.exceptionOrNull()?.message shouldContain "loopback"
            }
        }

        test("a server exceeds its limits of connections or body bytes") {
            EntryFixture(http = HttpSettings(maxConnections = 1)).use { small ->
                Socket("127.0.0.1", small.server.port).use { first ->
                    first.answer("GET /live HTTP/1.1\r\n\r\n")
                    first.getInputStream().read() shouldBe 'H'.code
                    small.raw("GET /live HTTP/1.1\r\n\r\n".toByteArray()) shouldContain
                        "too_many_connections"
                }
            }
            EntryFixture(http = HttpSettings(maxBodyBytes = 8 * 1024 * 1024)).use { large ->
                large.awaitReady()
                large.submit("r1", "x".repeat(3 * 1024 * 1024)).statusCode() shouldBe 413
            }
            EntryFixture(http = HttpSettings(maxBufferedBodyBytes = 10)).use { small ->
                small.awaitReady()
                small.submit("r1", "x".repeat(11)).body() shouldContain "too_many_bytes"
                repeat(3) { small.submit("r$it", "x".repeat(9)).statusCode() shouldBe 200 }
            }
        }
    })
