package dev.jackdawdale.cli

import dev.jackdawdale.standin.LoadKind
import dev.jackdawdale.standin.LoadOptions
import dev.jackdawdale.standin.loadKind
import dev.jackdawdale.standin.runLoad
import dev.jackdawdale.standin.snakeJson
import dev.jackdawdale.standin.toText
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlinx.serialization.encodeToString
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "load",
    description = [
        "Sends requests at a fixed rate and reports outcomes and waits.",
        "Exits with status 1 when an answer was incomplete or belonged to another request."
    ],
    footer = [
        "",
        "Example: jackdawdale sample load echo --customer glassworks --rate 50 --count 500 \\",
        "           --mix check:90:run_ms=5 --mix nesting:10:run_ms=800"
    ],
    mixinStandardHelpOptions = true
)
internal class SampleLoadCommand : Callable<Int> {
    @Mixin
    var cell = CellOptions()

    @Parameters(paramLabel = "SERVICE", description = ["Service to call."])
    var service: String = ""

    @Option(
        names = ["--mix"],
        paramLabel = "KIND:SHARE:BODY",
        description = ["A kind of request; repeat it for a mix. Default: check:1:run_ms=5"]
    )
    var mix: List<String> = listOf("check:1:run_ms=5")

    @Option(names = ["--rate"], description = ["Starts per second. Default: \${DEFAULT-VALUE}"])
    var rate: Int = 50

    @Option(names = ["--count"], description = ["Number of requests. Default: \${DEFAULT-VALUE}"])
    var count: Int = 100

    @Option(names = ["--deadline-ms"], description = ["Default: \${DEFAULT-VALUE}"])
    var deadlineMs: Long = 30_000

    @Option(names = ["--not-idempotent"], description = ["Requests run at most once."])
    var notIdempotent: Boolean = false

    @Option(names = ["--max-in-flight"], description = ["Default: \${DEFAULT-VALUE}"])
    var maxInFlight: Int = 1_000

    @Option(names = ["--resends"], description = ["Resends after a lost answer. Default: 3"])
    var resends: Int = 3

    @Option(names = ["--id-prefix"], description = ["Prefix of request ids. Default: load"])
    var idPrefix: String = "load"

    @Option(names = ["--seed"], description = ["Seed of the mix. Default: 1"])
    var seed: Long = 1

    @Option(names = ["--answers"], paramLabel = "FILE", description = ["JSON lines of answers."])
    var answers: Path? = null

    override fun call(): Int {
        val kinds: List<LoadKind> = mix.map {
            loadKind(it) ?: return usage("--mix $it: expected KIND:SHARE:BODY, share above 0")
        }
        if (rate < 1 || count < 1) return usage("--rate and --count must be above 0")
        val report = runLoad(
            LoadOptions(
                cell.hostUrls(),
                service,
                cell.customerId() ?: cell.bearer()?.substringBefore(':').orEmpty(),
                kinds,
                count,
                rate,
                !notIdempotent,
                deadlineMs,
                maxInFlight,
                resends,
                seed,
                idPrefix,
                cell.bearer(),
                answers
            )
        )
        val isJson = cell.output == OutputForm.JSON
        print(if (isJson) snakeJson.encodeToString(report) + "\n" else report.toText())
        return if (report.mixUps == 0) ExitCode.OK else ExitCode.REFUSED
    }

    private fun usage(problem: String): Int {
        System.err.println(problem)
        return ExitCode.USAGE
    }
}
