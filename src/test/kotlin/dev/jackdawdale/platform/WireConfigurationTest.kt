package dev.jackdawdale.platform

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val ROUTE = """{"name":"r1","host":"h","pathPrefix":"/p/","type":"unsafe",
"timeoutMs":3000,"targetLatencyMs":250.0,"priority":0,"service":"s","maxAttempts":4,"stretch":1.5,
"advice":{"decisionMs":10.0,"perWorkerMs":0.099,"validityMs":2000}}"""

private fun configuration(routes: String, services: String = """{"name":"s"}""") =
    """{"version":7,"routes":[$routes],"services":[$services],"limits":{}}"""

private class BadCase(val name: String, val body: String, val problem: String)

class WireConfigurationTest :
    FunSpec({
        context("an invalid configuration is refused as a whole") {
            withData(
                nameFn = { it.name },
                BadCase(
                    "truncated",
                    configuration(ROUTE).dropLast(10),
                    "not JSON"
                ),
                BadCase(
                    "unknown service",
                    configuration(ROUTE.replace("\"s\"", "\"other\"")),
                    "route r1 names the unknown service other"
                ),
                BadCase(
                    "two routes with the same host and prefix",
                    configuration("$ROUTE,${ROUTE.replace("r1", "r2")}"),
                    "routes r1 and r2 share host and prefix"
                ),
                BadCase(
                    "no timeout",
                    configuration(ROUTE.replace("3000", "0")),
                    "route r1 has no timeout"
                ),
                BadCase(
                    "version is a string",
                    configuration(ROUTE).replace("7", "\"7\""),
                    "version is not a whole number"
                ),
                BadCase("routes missing", """{"version":7,"services":[]}""", "routes is missing")
            ) { case ->
                val thrown = shouldThrow<MalformedBody> {
                    decodeConfiguration(case.body.encodeToByteArray())
                }
                thrown.problem.startsWith(case.problem) shouldBe true
            }
        }

        test("a valid configuration keeps its original text") {
            val body = configuration(ROUTE)
            val decoded = decodeConfiguration(body.encodeToByteArray())
            decoded.document shouldBe body
            decoded.version shouldBe 7
            decoded.queues.single().targetLatencyMs shouldBe 250
            decoded.queues.single().advice?.perWorkerMs shouldBe 0.099
        }
    })
