package dev.jackdawdale.platform

import dev.jackdawdale.testing.freePorts
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private const val PORTS = 5

/** Starts a cell with [workers] on free ports. */
internal fun platformCell(workers: List<StandInWorker>) = LoopbackCell(workers, freePorts(PORTS))

/** Waits until the cell accepts the configuration and is ready, then registers all workers. */
internal suspend fun LoopbackCell.open(configuration: String, service: String) {
    eventually(20.seconds) {
        operator("PUT", "/config", configuration).status shouldBe 200
        readiness().status shouldBe 200
    }
    workers.forEach { worker ->
        val report = worker.reportBody(service)
        operator("PUT", "/instances/${worker.id}", report).status shouldBe 200
    }
}
