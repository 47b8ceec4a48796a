package dev.jackdawdale.entry

import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

/** Each test is named after the failure that it guards against. */
class EntryHostTest :
    FunSpec({
        test("a request or its response is changed on the way") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                val response = fixture.submit("r1", "pane 40x60", mapOf("Content-Type" to "a/b"))
                response.body() shouldBe "plan"
                response.statusCode() shouldBe 200
                response.headers().firstValue("Content-Type").get() shouldBe "text/plan"
                response.headers().firstValue("Jackdawdale-Work-Id").get() shouldBe "acme/r1"
                response.headers().firstValue("Jackdawdale-Outcome").get() shouldBe "succeeded"
                response.headers().firstValue("Jackdawdale-Attempts").get() shouldBe "1"
                val seen = fixture.endpoint.requests.single()
                seen shouldContain "POST /v1/run HTTP/1.1"
                seen.lowercase() shouldContain "content-type: a/b\r\n"
                seen.lowercase() shouldContain "jackdawdale-token: 1\r\n"
                seen.substringAfter("\r\n\r\n") shouldBe "pane 40x60"
            }
        }

        test("a resent request runs again") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                repeat(3) { fixture.submit("r1").body() shouldBe "plan" }
                fixture.endpoint.requests.size shouldBe 1
            }
        }

        test("an announcement or a contract, or the reply to it, is lost") {
            EntryFixture().use { fixture ->
                fixture.awaitReady()
                fixture.leader.onCommand = { _, command ->
                    when (command) {
                        is Command.AnnounceEndpoint -> Reply.EndpointAnnounced(EndpointPhase.ACTIVE)
                        is Command.AnnounceWorker -> Reply.WorkerOrders(
                            emptyList(),
                            10_000,
                            listOf()
                        )
                        is Command.PutContract -> Reply.ContractAccepted(command.contract)
                        else -> null
                    }
                }
                fixture.leader.onQuery = { query ->
                    (query as? Query.Contracts)?.let {
                        Reply.Contracts(listOf(sampleContract("acme")), 7)
                    }
                }
                val endpoint = """{"incarnation": 1, "service": "planning", "address": "127.0.0.1",
                    "port": 9000, "slots": 8, "connections": 60, "failure_domain": "kochi"}"""
                fixture.call("POST", "/v1/endpoints/e1/announce", endpoint, MEMBER_TOKEN).body()
                    .shouldBe("""{"phase":"ACTIVE"}""")
                val worker = """{"incarnation": 1, "cpu_millis": 64000, "memory_mib": 1024,
                    "ended": [{"task_id": "acme/j#0", "token": 4, "result": "succeeded"}]}"""
                fixture.call("POST", "/v1/workers/w1/announce", worker, MEMBER_TOKEN).body()
                    .shouldBe("""{"lease_ms":10000,"acknowledged":[],"orders":[]}""")
                val listed = fixture.call("GET", "/v1/contracts/acme", token = OPERATOR_TOKEN)
                listed.statusCode() shouldBe 200
                val change = listed.body().dropLast(1) +
                    ""","expected_version":1,"change_id":"c1"}"""
                val put = fixture.call("PUT", "/v1/contracts/acme", change, OPERATOR_TOKEN)
                put.body() shouldBe listed.body()
            }
        }
    })
