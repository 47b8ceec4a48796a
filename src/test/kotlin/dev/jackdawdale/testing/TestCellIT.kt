package dev.jackdawdale.testing

import dev.jackdawdale.standin.LoadKind
import dev.jackdawdale.standin.LoadOptions
import dev.jackdawdale.standin.runLoad
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.File
import java.util.concurrent.CompletableFuture

private val contract = """
    {"customer_id": "c", "ceiling": {"cpu_millis": 100000, "memory_mib": 100000},
     "max_running_tasks": 100, "max_running_requests": 100, "request_rate_per_sec": 10000,
     "request_burst": 10000, "max_queued_requests": 10000, "max_queued_jobs": 100}
""".trimIndent()

/** Tests the whole system in a [TestCell]: kills a host under load and checks the guarantees. */
class TestCellIT :
    FunSpec({
        test("no guarantee breaks when an entry host is killed under non-idempotent load") {
            TestCell(CellPlan(proxied = true)).use { cell ->
                cell.startHosts()
                cell.awaitReady()
                val file = File(cell.folder, "contract.json").apply { writeText(contract) }
                cell.run("contract", "put", "c", "$file", "--expected-version", "0").first shouldBe
                    0
                cell.startEndpoint("ep1", "echo")
                cell.startEndpoint("ep2", "echo")
                cell.awaitUntil("endpoints active", 30_000) {
                    cell.run("endpoint", "list").second.lines().count { "ACTIVE" in it } == 2
                }
                val answers = File(cell.folder, "answers.txt")
                val load = CompletableFuture.supplyAsync {
                    runLoad(
                        LoadOptions(
                            listOf(cell.url("e1"), cell.url("e2")),
                            "echo",
                            "c",
                            listOf(LoadKind("check", 1, "run_ms=30")),
                            count = 300,
                            ratePerSec = 60,
                            idempotent = false,
                            answers = answers.toPath()
                        )
                    )
                }
                cell.awaitUntil("the load has started", 30_000) { cell.journals().size > 100 }
                cell.kill("e1")
                load.get().mixUps shouldBe 0
                cell.awaitUntil("all work ended", 60_000) {
                    "placed_requests: 0" in cell.run("cell", "status").second
                }
                val records = cell.run("records", "--output", "json", "--limit", "100000").second
                val evidence = Evidence(
                    cell.journals(),
                    callerAnswers(answers.readText()),
                    recordedOutcomes(records),
                    recordsAreComplete = true
                )
                violations(evidence).shouldBeEmpty()
            }
        }
    })
