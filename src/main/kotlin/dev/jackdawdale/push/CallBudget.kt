package dev.jackdawdale.push

import dev.jackdawdale.staged.AdviceTerms

/**
 * Calls to the adviser by how long they keep a host busy.
 *
 * @property upToMs time of the longest call of this length
 * @property hostShare share of the hosts that calls of this length and longer may use together
 */
internal enum class CallLength(val upToMs: Double, val hostShare: Double) {
    SHORT(150.0, 1.0),
    MEDIUM(400.0, 0.85),
    LONG(Double.MAX_VALUE, 0.65)
}

/** The length of a call about [WORKERS_PER_ADVICE_CALL] workers. */
internal fun callLength(terms: AdviceTerms): CallLength {
    val callMs = adviceCallMs(terms, WORKERS_PER_ADVICE_CALL)
    return CallLength.entries.first { callMs <= it.upToMs }
}

/**
 * Counts how many more calls of each length may start.
 *
 * Answers bursts of wide steps: their calls would take all hosts, and shorter calls would wait for
 * one of them to end. The share that is kept free for shorter calls is small, as these need little
 * host time; a larger one would leave hosts idle while wide steps wait for their first answer.
 *
 * @param hosts number of hosts that make calls, one at a time
 * @param inFlight lengths of the calls in flight
 * @param shortest length of the shortest calls that wait; only longer ones may get no host at all
 */
internal class CallBudget(
    hosts: Int,
    inFlight: List<CallLength>,
    shortest: CallLength = CallLength.LONG
) {
    private val left = CallLength.entries.associateWithTo(HashMap()) { length ->
        val least = if (length > shortest) 0 else 1
        val limit = (hosts * length.hostShare).toInt().coerceIn(minOf(least, hosts), hosts)
        limit - inFlight.count { it >= length }
    }

    /** Whether one more call of this length may start. */
    fun allows(length: CallLength): Boolean =
        CallLength.entries.all { it > length || left.getValue(it) > 0 }

    /** Records that a call starts. One beyond the budget can't start, so it takes no host. */
    fun take(length: CallLength) {
        if (!allows(length)) return
        CallLength.entries.filter { it <= length }.forEach { left.merge(it, -1, Int::plus) }
    }
}
