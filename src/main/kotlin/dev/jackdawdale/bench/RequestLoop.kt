package dev.jackdawdale.bench

import java.util.PriorityQueue

private data class RunEnd(val atMs: Long, val run: RequestRun)

/** Longest time between two control ticks, as in the control loop. */
private const val TICK_MS = 100L

/** Runs [arrivals], sorted by time, under [policy] until [untilMs] of virtual time. */
internal fun simulate(
    arrivals: List<RequestRun>,
    policy: RequestPolicy,
    untilMs: Long
): List<RequestTimes> {
    val startMs = arrayOfNulls<Long>(arrivals.size)
    val endMs = arrayOfNulls<Long>(arrivals.size)
    val ends = PriorityQueue(compareBy<RunEnd>({ it.atMs }, { it.run.index }))
    var next = 0
    var nowMs = 0L
    while (nowMs <= untilMs) {
        while (ends.isNotEmpty() && ends.peek().atMs <= nowMs) {
            val ended = ends.poll()
            policy.end(ended.run, nowMs)
            endMs[ended.run.index] = nowMs
        }
        while (next < arrivals.size && arrivals[next].arrivesMs <= nowMs) {
            policy.arrive(arrivals[next++], nowMs)
        }
        for (run in policy.starts(nowMs)) {
            startMs[run.index] = nowMs
            ends += RunEnd(nowMs + run.runTimeMs, run)
        }
        val nextArrivalMs = arrivals.getOrNull(next)?.arrivesMs ?: Long.MAX_VALUE
        val nextEndMs = ends.peek()?.atMs ?: Long.MAX_VALUE
        val nextTickMs = (nowMs / TICK_MS + 1) * TICK_MS
        nowMs = maxOf(minOf(nextArrivalMs, nextEndMs, nextTickMs), nowMs + 1)
    }
    return arrivals.map { RequestTimes(it, startMs[it.index], endMs[it.index]) }
}

/** The value at [quantile], from 0 to 1; 0 for an empty list. */
internal fun List<Long>.quantile(quantile: Double): Double {
    if (isEmpty()) return 0.0
    val sorted = sorted()
    return sorted[(quantile * (sorted.size - 1)).toInt()].toDouble()
}
