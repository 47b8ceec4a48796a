package dev.jackdawdale.cli

import dev.jackdawdale.standin.EndpointOptions
import dev.jackdawdale.standin.SampleEndpoint
import dev.jackdawdale.standin.SampleWorker
import dev.jackdawdale.standin.WorkerOptions
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option

@Command(
    name = "sample",
    description = ["Runs sample endpoints, workers and load to try out the system."],
    mixinStandardHelpOptions = true
)
internal class SampleCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun sampleCommandLine(): CommandLine = CommandLine(SampleCommand())
    .addSubcommand(SampleEndpointCommand())
    .addSubcommand(SampleWorkerCommand())
    .addSubcommand(SampleLoadCommand())

@Command(
    name = "endpoint",
    description = ["Runs requests as timers and answers each with its work id."],
    footer = [
        "",
        "Example: jackdawdale sample endpoint --id e1 --service echo --entry http://127.0.0.1:7400"
    ],
    mixinStandardHelpOptions = true
)
internal class SampleEndpointCommand : Callable<Int> {
    @Option(names = ["--id"], required = true, description = ["Endpoint id."])
    var id: String = ""

    @Option(names = ["--service"], required = true, description = ["Service that it serves."])
    var service: String = ""

    @Option(names = ["--entry"], required = true, split = ",", description = ["Entry host URLs."])
    var entry: List<String> = emptyList()

    @Option(names = ["--address"], description = ["Address. Default: \${DEFAULT-VALUE}"])
    var address: String = "127.0.0.1"

    @Option(names = ["--port"], description = ["Port; 0 chooses a free one."])
    var port: Int = 0

    @Option(names = ["--announce-port"], description = ["Port to announce, if not --port."])
    var announcePort: Int? = null

    @Option(names = ["--slots"], description = ["Requests at once. Default: \${DEFAULT-VALUE}"])
    var slots: Int = 8

    @Option(names = ["--connections"], description = ["Default: \${DEFAULT-VALUE}"])
    var connections: Int = 60

    @Option(names = ["--failure-domain"], description = ["Default: \${DEFAULT-VALUE}"])
    var failureDomain: String = "local"

    @Option(names = ["--run-ms"], description = ["Run time. Default: \${DEFAULT-VALUE}"])
    var runMs: Long = 20

    @Option(names = ["--run-spread-ms"], description = ["Random addition to the run time."])
    var runSpreadMs: Long = 0

    @Option(names = ["--fail-every"], paramLabel = "N", description = ["Every Nth answer is 500."])
    var failEvery: Int = 0

    @Option(names = ["--cut-every"], paramLabel = "N", description = ["Every Nth answer is cut."])
    var cutEvery: Int = 0

    @Option(names = ["--seed"], description = ["Seed of the run times."])
    var seed: Long = 1

    @Option(names = ["--token"], description = ["Member token."])
    var token: String? = null

    @Option(names = ["--journal"], paramLabel = "FILE", description = ["JSON lines of each run."])
    var journal: Path? = null

    override fun call(): Int {
        val endpoint = SampleEndpoint(
            EndpointOptions(
                id, service, entry, address, port, slots, connections, failureDomain,
                runMs, runSpreadMs, failEvery, cutEvery, seed, token, journal,
                announcePort
            )
        )
        runUntilStopped(
            onStop = {
                endpoint.leave()
                endpoint.close()
            },
            start = { println("endpoint $id listens on $address:${endpoint.start()}") }
        )
        return ExitCode.OK
    }
}

@Command(
    name = "worker",
    description = ["Runs tasks as timers; a payload such as `run_ms=2000 fail` controls a task."],
    footer = ["", "Example: jackdawdale sample worker --id w1 --entry http://127.0.0.1:7400"],
    mixinStandardHelpOptions = true
)
internal class SampleWorkerCommand : Callable<Int> {
    @Option(names = ["--id"], required = true, description = ["Worker id."])
    var id: String = ""

    @Option(names = ["--entry"], required = true, split = ",", description = ["Entry host URLs."])
    var entry: List<String> = emptyList()

    @Option(names = ["--cpu-millis"], description = ["Default: \${DEFAULT-VALUE}"])
    var cpuMillis: Long = 8_000

    @Option(names = ["--memory-mib"], description = ["Default: \${DEFAULT-VALUE}"])
    var memoryMib: Long = 16_384

    @Option(names = ["--accelerators"], description = ["Default: \${DEFAULT-VALUE}"])
    var accelerators: Long = 0

    @Option(names = ["--rack"], description = ["Default: \${DEFAULT-VALUE}"])
    var rack: String = "rack-1"

    @Option(names = ["--failure-domain"], description = ["Default: \${DEFAULT-VALUE}"])
    var failureDomain: String = "local"

    @Option(names = ["--poll-ms"], description = ["Long poll. Default: \${DEFAULT-VALUE}"])
    var pollMs: Long = 1_000

    @Option(names = ["--run-ms"], description = ["Run time. Default: \${DEFAULT-VALUE}"])
    var runMs: Long = 1_000

    @Option(names = ["--fail-all"], description = ["Every task fails."])
    var failAll: Boolean = false

    @Option(names = ["--no-leases"], description = ["Does not stop tasks when its lease expires."])
    var noLeases: Boolean = false

    @Option(names = ["--leave-timeout-ms"], description = ["Default: \${DEFAULT-VALUE}"])
    var leaveTimeoutMs: Long = 15_000

    @Option(names = ["--token"], description = ["Member token."])
    var token: String? = null

    @Option(names = ["--journal"], paramLabel = "FILE", description = ["JSON lines of each task."])
    var journal: Path? = null

    override fun call(): Int {
        val worker = SampleWorker(
            WorkerOptions(
                id, entry, cpuMillis, memoryMib, accelerators, rack, failureDomain,
                pollMs, runMs, failAll, !noLeases, token, journal
            )
        )
        runUntilStopped(
            onStop = {
                worker.leave(leaveTimeoutMs)
                worker.close()
            },
            start = {
                worker.start()
                println("worker $id runs tasks")
            }
        )
        return ExitCode.OK
    }
}
