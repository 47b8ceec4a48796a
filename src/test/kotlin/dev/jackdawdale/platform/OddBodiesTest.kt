package dev.jackdawdale.platform

import dev.jackdawdale.staged.AdviceResult
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

private const val REGISTRATION = """{"service":"s","address":"10.1.0.9:8080","zone":"z",
"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,
"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,
"born":1700000000000,"sequence":4}"""

private const val CONFIGURATION = """{"version":7,"routes":[{"name":"r1","host":"h",
"pathPrefix":"/p/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,
"service":"s","maxAttempts":4,"stretch":1.5,
"advice":{"decisionMs":10.0,"perWorkerMs":0.099,"validityMs":2000}}],
"services":[{"name":"s"}],"limits":{}}"""

private const val JOB = """{"spec":"x","repeatCount":2,"firstRunMs":5,"intervalMs":1000,
"steps":[{"count":3,"cpu":1000,"memMb":64,"gpu":0,"estimatedMs":50},
{"count":2,"cpu":2000,"memMb":64,"estimatedMs":50,"gang":true,"after":[0],"antiAffinity":1}]}"""

private const val RUN_REPORT = """{"clockMs":5,"born":9,"running":[["a.0.1.2",3,"",50]],
"endedRuns":[[58,"a.0.1.9",1,"done",""]]}"""

private const val ADVICE = """{"good":[["i-1","t1"],["i-2","t2"]]}"""

/** A call that carries a body, with a valid example of it. */
private class Call(val name: String, val valid: String, val decode: (ByteArray) -> Any)

private val registration =
    Call("registration", REGISTRATION) { decodeWorkerRegistration("i-1", it) }
private val configuration = Call("configuration", CONFIGURATION, ::decodeConfiguration)
private val job = Call("job", JOB) { decodeSubmit("h", "/p/5c0e7a21d94b36f8", it) }
private val runReport = Call("run report", RUN_REPORT, ::decodeRunReport)
private val advice = Call("advice", ADVICE, ::decodeTickets)
private val calls = listOf(registration, configuration, job, runReport, advice)

private class OddCase(val name: String, val call: Call, val body: String)

private fun Call.with(old: String, new: String): OddCase {
    check(old in valid) { "$old is not in the example of a $name" }
    return OddCase("$name: $old as $new", this, valid.replace(old, new))
}

private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

private val deepBodies = calls.flatMap { call ->
    listOf(
        OddCase("${call.name}: nested deeply", call, nested(10_000)),
        OddCase(
            "${call.name}: nested deeply in an unknown field",
            call,
            call.valid.replaceFirst("{", """{"other":${nested(10_000)},""")
        ),
        OddCase(
            "${call.name}: nested deeply and cut off",
            call,
            """{"other":""" + "{\"a\":".repeat(10_000)
        )
    )
}

private val outOfRange = listOf(
    registration.with("10.1.0.9:8080", "10.1.0.9:99999"),
    registration.with("10.1.0.9:8080", "10.1.0.9:-1"),
    registration.with("10.1.0.9:8080", "10.1.0.9:0"),
    registration.with("10.1.0.9:8080", "10.1.0.9"),
    registration.with("10.1.0.9:8080", "nonsense"),
    registration.with("\"cpu\":16000", "\"cpu\":-5"),
    registration.with("\"cpu\":16000", "\"cpu\":9223372036854775807"),
    registration.with("\"cpu\":16000", "\"cpu\":1e999"),
    registration.with("\"memMb\":32768", "\"memMb\":-1"),
    registration.with("\"gpu\":0", "\"gpu\":4611686018427387904"),
    registration.with("\"sequence\":4", "\"sequence\":-4"),
    registration.with("1700000000000", "9223372036854775807"),
    configuration.with("\"version\":7", "\"version\":99999999999999999999"),
    configuration.with("\"priority\":0", "\"priority\":4294967296"),
    configuration.with("\"priority\":0", "\"priority\":-1"),
    configuration.with("\"maxAttempts\":4", "\"maxAttempts\":4294967297"),
    configuration.with("\"timeoutMs\":3000", "\"timeoutMs\":1e999"),
    configuration.with("\"timeoutMs\":3000", "\"timeoutMs\":-1"),
    configuration.with("\"targetLatencyMs\":250", "\"targetLatencyMs\":-250"),
    configuration.with("\"stretch\":1.5", "\"stretch\":1e999"),
    configuration.with("\"stretch\":1.5", "\"stretch\":-1"),
    configuration.with("\"decisionMs\":10.0", "\"decisionMs\":-1"),
    configuration.with("\"validityMs\":2000", "\"validityMs\":1e300"),
    job.with("\"spec\":\"x\"", "\"spec\":\"x\\ud800\""),
    job.with("\"spec\":\"x\"", "\"spec\":\"\\udc00\\ud800\""),
    runReport.with("\"born\":9", "\"born\":9.5"),
    job.with("\"count\":3", "\"count\":4294967297"),
    job.with("\"count\":3", "\"count\":2000000000"),
    job.with("\"count\":3", "\"count\":-3"),
    job.with("\"after\":[0]", "\"after\":[4294967296]"),
    job.with("\"cpu\":1000", "\"cpu\":-1000"),
    job.with("\"cpu\":1000", "\"cpu\":9223372036854775807"),
    job.with("\"memMb\":64", "\"memMb\":-64"),
    job.with("\"estimatedMs\":50", "\"estimatedMs\":-50"),
    job.with("\"estimatedMs\":50", "\"estimatedMs\":1e300"),
    job.with("\"repeatCount\":2", "\"repeatCount\":4294967298"),
    job.with("\"intervalMs\":1000", "\"intervalMs\":9223372036854775807"),
    job.with("\"firstRunMs\":5", "\"firstRunMs\":9223372036854775807"),
    job.with("\"antiAffinity\":1", "\"antiAffinity\":4294967297"),
    runReport.with("\"clockMs\":5", "\"clockMs\":9223372036854775807"),
    runReport.with("\"born\":9", "\"born\":-9")
)

private val damagedValues =
    listOf("1638x", "falsf", "15O00", "word", "'word'", "01", "+1", ".5", "1.", "NaN", "0x10", "")

private val notJson = calls.flatMap { call ->
    damagedValues.map { value ->
        val body = call.valid.replaceFirst("{", """{"other":$value,""")
        OddCase("${call.name}: \"$value\" as a value", call, body)
    } + listOf(
        OddCase("${call.name}: text after it", call, call.valid + "}"),
        OddCase("${call.name}: two of it", call, call.valid + call.valid),
        OddCase(
            "${call.name}: a name twice",
            call,
            call.valid.replaceFirst("{", """{"other":1,"other":2,""")
        ),
        OddCase("${call.name}: a comma after the last field", call, call.valid.dropLast(1) + ",}")
    )
} + listOf(
    configuration.with("\"limits\":{}", "\"limits\":{\"maxHeaderBytes\":\"16384\"}"),
    configuration.with("\"limits\":{}", "\"limits\":{\"idleTimeoutMs\":false}"),
    configuration.with("\"limits\":{}", "\"limits\":[]"),
    configuration.with("{\"name\":\"s\"}", "{\"name\":\"s\",\"tls\":\"no\"}"),
    configuration.with("{\"name\":\"s\"}", "{\"name\":\"s\",\"maxConnections\":-1}")
)

/** Rows that are left out; the other rows of the list hold. */
private val oddRows = listOf(
    "run over 32 bits" to """["a.0.1.9",4294967297,"",0]""",
    "run is negative" to """["a.0.1.9",-1,"",0]""",
    "percent over 32 bits" to """["a.0.1.9",1,"",4294967296]""",
    "index over 32 bits" to """["a.0.1.4294967305",1,"",0]""",
    "index is negative" to """["a.0.1.-9",1,"",0]""",
    "empty" to "[]",
    "not a list" to """{"a":1}"""
)

private val oddEnds = listOf(
    "run over 32 bits" to """[57,"a.0.1.9",4294967297,"done",""]""",
    "number so large that no later end would be handled" to
        """[9223372036854775807,"a.0.1.9",1,"done",""]""",
    "number is negative" to """[-1,"a.0.1.9",1,"done",""]""",
    "checkpoint of another type" to """[57,"a.0.1.9",1,"done",5]"""
)

private val oddAdvice = listOf("[]", "[\"i-9\"]", "[\"i-9\",7]", "{}", "null", "[[],[]]")

private val oddValues = listOf(
    "null", "true", "-1", "0", "4294967297", "9223372036854775807", "99999999999999999999",
    "1e999", "-1e999", "NaN", "0.5", "\"\"", "\"x\"", "\"\\ud800\"", "[]", "{}", "[[[[]]]]"
)
private val valueInBody = Regex("""(?<=[:\[,])("[^"]*"|-?[0-9.]+|true|false)""")
private const val MUTATION_SEED = 20_261_205L
private const val MUTATIONS = 3_000

/** Replaces one value of the body, deletes one byte or cuts the body off. */
private fun mutate(body: String, kind: Int, place: Int, value: String): String = when (kind) {
    0 -> body.removeRange(place % body.length, place % body.length + 1)
    1 -> body.take(place % body.length)
    else -> {
        val values = valueInBody.findAll(body).toList()
        body.replaceRange(values[place % values.size].range, value)
    }
}

class OddBodiesTest :
    FunSpec({
        context("a body that can't be held as it is was accepted, or ended the decoder") {
            withData(nameFn = { it.name }, deepBodies + outOfRange) { case ->
                shouldThrow<MalformedBody> { case.call.decode(case.body.encodeToByteArray()) }
            }
        }

        context("a body that is no JSON is decoded, as its damaged value is not read") {
            withData(nameFn = { it.name }, notJson) { case ->
                shouldThrow<MalformedBody> { case.call.decode(case.body.encodeToByteArray()) }
            }
        }

        test("the examples themselves are rejected") {
            calls.forEach { it.decode(it.valid.encodeToByteArray()) }
        }

        context("an odd row of running tasks hides the others, or is taken for another run") {
            withData(nameFn = { it.first }, oddRows) { (_, row) ->
                val lists = RUN_REPORT.replace("\"running\":[", "\"running\":[$row,")
                val decoded = decodeRunReport(lists.encodeToByteArray())
                decoded.copy(unclear = emptySet()) shouldBe
                    decodeRunReport(RUN_REPORT.encodeToByteArray())
                val named = if (row.startsWith("[\"a.0.1.9\"")) listOf("a.0.1.9") else emptyList()
                decoded.unclear.map { it.toString() } shouldBe named
            }
        }

        context("an odd row of ended runs hides the others, or is taken for another end") {
            withData(nameFn = { it.first }, oddEnds) { (_, row) ->
                val lists = RUN_REPORT.replace("\"endedRuns\":[", "\"endedRuns\":[$row,")
                decodeRunReport(lists.encodeToByteArray()) shouldBe
                    decodeRunReport(RUN_REPORT.encodeToByteArray())
            }
        }

        context("an odd row of advice hides the others, or leaves the call unanswered") {
            withData(oddAdvice) { row ->
                val rows = ADVICE.replace("\"good\":[", "\"good\":[$row,")
                decodeTickets(rows.encodeToByteArray()) shouldBe
                    AdviceResult.Given(mapOf("i-1" to "t1", "i-2" to "t2"))
            }
        }

        test("a mutated body ends the decoder with anything but a decode error") {
            val mutated = Arb.bind(
                Arb.element(calls),
                Arb.int(0..4),
                Arb.int(0..5_000),
                Arb.element(oddValues)
            ) { call, kind, place, value -> call to mutate(call.valid, kind, place, value) }
            checkAll(MUTATIONS, PropTestConfig(seed = MUTATION_SEED), mutated) { (call, body) ->
                try {
                    call.decode(body.encodeToByteArray())
                } catch (_: MalformedBody) {
                    // The expected result of most mutations.
                }
            }
        }
    })
