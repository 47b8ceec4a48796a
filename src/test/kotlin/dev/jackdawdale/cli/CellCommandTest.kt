package dev.jackdawdale.cli

import dev.jackdawdale.standin.FakeAnswer
import dev.jackdawdale.standin.FakeEntryHost
import dev.jackdawdale.testing.freePorts
import dev.jackdawdale.timeline.EventKind
import dev.jackdawdale.timeline.timeline
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.nio.file.Files
import picocli.CommandLine

private fun error(label: String, ran: String) =
    """{"error":"$label","message":"because","ran":"$ran"}"""

private data class AnswerCase(
    val name: String,
    val answer: FakeAnswer,
    val status: Int,
    val printed: String
)

private fun allCommands(line: CommandLine): List<CommandLine> =
    if (line.subcommands.isEmpty()) listOf(line) else line.subcommands.values.flatMap(::allCommands)

class CellCommandTest :
    FunSpec({
        context("the exit status shows whether the work ran") {
            withData(
                nameFn = { it.name },
                AnswerCase("success", FakeAnswer(200, "answer"), ExitCode.OK, "answer"),
                AnswerCase(
                    "limit of the contract",
                    FakeAnswer(429, error("limit_reached", "no")),
                    ExitCode.REFUSED,
                    "nothing ran"
                ),
                AnswerCase(
                    "full cell, not retried",
                    FakeAnswer(503, error("cell_full", "no")),
                    ExitCode.REFUSED,
                    "nothing ran"
                ),
                AnswerCase(
                    "may have run",
                    FakeAnswer(502, error("may_have_run", "unknown")),
                    ExitCode.UNKNOWN,
                    "it may have run"
                ),
                AnswerCase(
                    "no leader at any host",
                    FakeAnswer(503, error("no_leader", "no")),
                    ExitCode.REFUSED,
                    "nothing ran"
                ),
                AnswerCase(
                    "truncated answers from every host",
                    FakeAnswer(200, "long answer", cut = true),
                    ExitCode.UNKNOWN,
                    "the outcome is unknown"
                )
            ) { case ->
                FakeEntryHost { case.answer }.use { host ->
                    val run = cli("call", "echo", "--host", host.url, "--retry-ms", "0")
                    run.status shouldBe case.status
                    run.out + run.err shouldContain case.printed
                }
            }
        }

        test("a request is sent to the next host with the same id after a lost answer") {
            FakeEntryHost { FakeAnswer(200, "half of it", cut = true) }.use { cut ->
                FakeEntryHost { FakeAnswer(200, "whole") }.use { next ->
                    val run = cli("call", "echo", "--host", cut.url, "--host", next.url)
                    run.status shouldBe ExitCode.OK
                    run.out shouldBe "whole"
                    val ids = (cut.calls + next.calls)
                        .map { it.headers["jackdawdale-request-id"] }
                    ids.distinct().size shouldBe 1
                    run.err shouldContain "request id: ${ids.first()}"
                }
            }
        }

        test("a refusal after a lost answer does not report that nothing ran") {
            FakeEntryHost { FakeAnswer(200, "half of it", cut = true) }.use { cut ->
                FakeEntryHost { FakeAnswer(503, error("not_ready", "no")) }.use { next ->
                    val urls = "${cut.url},${next.url}"
                    val run = cli("call", "echo", "--host", urls, "--retry-ms", "0")
                    run.status shouldBe ExitCode.UNKNOWN
                    run.err shouldNotContain "nothing ran"
                }
            }
        }

        test("a cell that cannot be reached has its own exit status") {
            val url = "http://127.0.0.1:${freePorts(1).single()}"
            val run = cli("cell", "status", "--host", url, "--retry-ms", "0")
            run.status shouldBe ExitCode.UNREACHABLE
            run.err shouldContain "nothing was sent"
        }

        test("submit waits for the end and fails when the job did not succeed") {
            FakeEntryHost { call ->
                val ended = """"stage":"ended","outcome":"cannot_run","reason":"too large""""
                val stage = if (call.method == "POST") """"stage":"accepted"""" else ended
                FakeAnswer(if (call.method == "POST") 202 else 200, "{$stage}")
            }.use { host ->
                val run = cli("submit", "--request-id", "j1", "--host", host.url, "--wait")
                run.status shouldBe ExitCode.REFUSED
                run.out shouldContain "reason: too large"
                host.calls.map { "${it.method} ${it.path}" } shouldContainExactly
                    listOf("POST /v1/jobs", "GET /v1/work/j1")
            }
        }

        test("contract put sends the version in the file only as the expected version") {
            val file = Files.createTempFile("contract", ".json")
            Files.writeString(file, """{"version":4,"weight":2}""")
            FakeEntryHost { FakeAnswer(200, "{}") }.use { host ->
                cli("contract", "put", "c", "$file", "--change-id", "x1", "--host", host.url)
                    .status shouldBe ExitCode.OK
                host.calls.single().body shouldBe
                    """{"weight":2,"change_id":"x1","expected_version":4}"""
            }
        }

        test("records are read page by page") {
            FakeEntryHost { call ->
                if ("from_number=0" in call.path) {
                    val next = mapOf("Jackdawdale-Next-Number" to "1")
                    FakeAnswer(200, "{\"number\":0}\n", next)
                } else {
                    FakeAnswer(200, "{\"number\":1}\n")
                }
            }.use { host ->
                cli("records", "--host", host.url, "--output", "json").out shouldBe
                    "{\"number\":0}\n{\"number\":1}\n"
            }
        }

        test("the timeline names a host that was not reached and exits with status 1") {
            val events = timeline("a") { 5 }
            events.record(EventKind.WORK_ACCEPTED, "c/1")
            val unreachable = "http://127.0.0.1:${freePorts(1).single()}"
            FakeEntryHost { FakeAnswer(200, events.json("c/1")) }.use { host ->
                val run = cli("timeline", "c/1", "--host", host.url, "--host", unreachable)
                run.status shouldBe ExitCode.REFUSED
                run.out shouldContain "work_accepted"
                run.out shouldContain "incomplete: $unreachable was not reached"
            }
        }

        test("a new token and its hash have the format of the settings") {
            val run = cli("token", "hash", "operator")
            run.out shouldContain Regex("token: operator:\\S{32}\nhash: [0-9a-f]+:[0-9a-f]{64}\n")
        }

        test("every command has a description, help and an example") {
            for (line in allCommands(rootCommandLine())) {
                val usage = line.usageMessage
                val name = line.commandSpec.qualifiedName()
                "$name ${usage.contains("Example: ")}" shouldBe "$name true"
                line.commandSpec.findOption("--help") shouldNotBe null
            }
            cli("completion").out shouldContain "jackdawdale"
        }
    })
