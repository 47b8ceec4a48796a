package dev.jackdawdale.bench

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.workId

/**
 * One request of a virtual-time measurement.
 *
 * @property arrivesMs when the caller sends it
 * @property runTimeMs how long it actually occupies its slot
 */
internal data class RequestRun(
    val index: Int,
    val spec: RequestSpec,
    val arrivesMs: Long,
    val runTimeMs: Long
)

/** When a request started and ended; null when it never did. */
internal data class RequestTimes(val run: RequestRun, val startMs: Long?, val endMs: Long?)

internal val RequestTimes.waitMs: Long? get() = startMs?.minus(run.arrivesMs)

internal val benchService = ServiceName("planning")

internal fun requestRun(
    index: Int,
    customer: String,
    kind: String,
    arrivesMs: Long,
    runTimeMs: Long,
    deadlineInMs: Long = 3_600_000,
    declaredMs: Long? = null
): RequestRun {
    val customerId = CustomerId(customer)
    val spec = RequestSpec(
        workId = workId(customerId, "r$index"),
        customerId = customerId,
        service = benchService,
        idempotent = true,
        kind = kind,
        declaredRunTimeMs = declaredMs,
        deadlineMs = arrivesMs + deadlineInMs
    )
    return RequestRun(index, spec, arrivesMs, maxOf(runTimeMs, 1))
}
