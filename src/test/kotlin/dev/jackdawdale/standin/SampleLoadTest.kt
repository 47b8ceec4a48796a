package dev.jackdawdale.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.encodeToString

private val succeeded = mapOf("Jackdawdale-Outcome" to "succeeded")

private fun ownMark(call: Call): String = snakeJson.encodeToString(
    Mark("c/${call.requestId}", 1, sha256Hex(call.body.encodeToByteArray()), "e1")
)

private val Call.requestId get() = headers.getValue("jackdawdale-request-id")

private fun options(url: String) =
    LoadOptions(listOf(url), "echo", "c", listOf(LoadKind("check", 1, "run_ms=1")), 10, 1_000)

private class LoadCase(
    val name: String,
    val outcomes: Map<String, Int>,
    val mixUps: Int,
    val answer: (Call) -> FakeAnswer
)

class SampleLoadTest :
    FunSpec({
        context("each request is counted once, by its outcome") {
            val busy = """{"error":"limit_reached","message":"m","ran":"no"}"""
            withData(
                nameFn = { it.name },
                LoadCase("matching answers", mapOf("succeeded" to 10), 0) {
                    FakeAnswer(200, ownMark(it), succeeded)
                },
                LoadCase("an answer to another request", mapOf("succeeded" to 10), 1) {
                    val own = ownMark(it)
                    val body = if (it.requestId == "load-3") own.replace("c/load-3", "c/x") else own
                    FakeAnswer(200, body, succeeded)
                },
                LoadCase("refusals", mapOf("limit_reached" to 10), 0) { FakeAnswer(429, busy) }
            ) { case ->
                FakeEntryHost(answer = case.answer).use { host ->
                    val report = runLoad(options(host.url))
                    report.outcomes shouldBe case.outcomes
                    report.mixUps shouldBe case.mixUps
                }
            }
        }

        test("a request is sent again with the same id after a lost answer and is counted once") {
            val seen = ConcurrentHashMap.newKeySet<String>()
            val file = Files.createTempFile("answers", ".jsonl")
            FakeEntryHost { call ->
                FakeAnswer(200, ownMark(call), succeeded, cut = seen.add(call.requestId))
            }.use { host ->
                val report = runLoad(options(host.url).copy(answers = file))
                report.outcomes shouldBe mapOf("succeeded" to 10)
                report.mixUps shouldBe 0
            }
            val answers = Files.readAllLines(file)
                .map { snakeJson.decodeFromString<LoadAnswer>(it) }
            answers.map { it.tries } shouldBe List(10) { 2 }
        }
    })
