package dev.jackdawdale.push

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.MAX_RESOURCE
import dev.jackdawdale.model.Resources

/** Why a step waits, in the order in which the reasons are checked. */
internal enum class WaitReason {
    /** Placements of the job pause briefly after a worker refused an order. */
    PAUSED,

    /** The step's runs only fail; those that decide whether it can succeed go on. */
    FAILING,

    /** The customer uses its ceiling up; a gang waits until it fits below as a whole. */
    CEILING,

    /** The job is beyond its customer's rate, and other steps wait. */
    BEYOND_RATE,

    /** The adviser has not answered about any worker yet. */
    NO_ANSWER,

    /** A further call about the step is in flight; capacity is reserved for it. */
    CALLING,

    /** The step holds no valid ticket, and no host is free for a call about it. */
    QUEUED,

    /** Chosen workers have no valid ticket. */
    NO_TICKETS,

    /** Tasks wait for room near their data or, for a gang, in one rack. */
    LOCALITY,

    /** The allowed workers lack capacity for the tasks. */
    NO_ROOM
}

/**
 * State of a waiting step in one pass; workers and tasks are counts.
 *
 * @property waiting tasks without a placement, of [tasks]
 * @property usable workers of the step's service that accept orders
 * @property allowed usable workers on which the step may run
 * @property chosen workers chosen for the tasks; none for a gang that doesn't fit as a whole
 * @property missing chosen workers without a valid ticket
 * @property waitingForPlace tasks that could start, but wait for room near their data or group
 * @property isQueued no workers were chosen, as no call about the step can start
 * @property isCalling no workers were chosen, as a call about the step is in flight
 * @property ceiling set when the customer's ceiling holds the step back
 * @property isBeyondRate the step waits as others do that are within their customer's rate
 * @property advice null when the step needs none
 * @property isFailing the step is held back, as its runs only fail
 * @property idleMs how long the job has had no run in an idle cell
 * @property keptMillis thousandths of free processors on [allowed] that are kept for other steps
 */
internal data class WaitFacts(
    val waiting: Int,
    val tasks: Int,
    val gang: Boolean,
    val pausedForMs: Long = 0,
    val usable: Int = 0,
    val allowed: Int = 0,
    val chosen: Int = 0,
    val missing: Int = 0,
    val waitingForPlace: Int = 0,
    val isCalling: Boolean = false,
    val isQueued: Boolean = false,
    val ceiling: CeilingFacts? = null,
    val isBeyondRate: Boolean = false,
    val advice: AdviceFacts? = null,
    val customerId: CustomerId? = null,
    val isFailing: Boolean = false,
    val idleMs: Long = 0,
    val keptMillis: Long = 0
)

/**
 * A customer's use and ceiling.
 *
 * @property claimed resources of the steps that go first and are about to start
 */
internal data class CeilingFacts(
    val customerId: CustomerId,
    val held: Resources,
    val claimed: Resources,
    val ceiling: Resources
)

/**
 * State of the advice about a step.
 *
 * @property asked workers that the adviser answered about
 * @property ticketed workers with a valid ticket
 * @property callInFlight a call about the step is in flight
 * @property behind number of steps whose calls go first, or null when no call is requested
 * @property calls number of calls sent for the step so far
 */
internal data class AdviceFacts(
    val asked: Int = 0,
    val ticketed: Int = 0,
    val callInFlight: Boolean = false,
    val behind: Int? = null,
    val calls: Int = 0,
    val lastAnswer: AnswerCoverage? = null
)

/**
 * How many of the workers chosen after the last answer still lack tickets, and why.
 *
 * @property chosen workers chosen in that pass
 * @property missing chosen workers without a valid ticket
 * @property lapsed those of [missing] whose tickets were valid when the call was sent
 * @property added those of [missing] that were not chosen yet when the call was sent
 */
internal data class AnswerCoverage(
    val chosen: Int,
    val missing: Int,
    val lapsed: Int = 0,
    val added: Int = 0
)

/**
 * Compares the workers chosen [before] a call with those [chosen] after its answer.
 *
 * @param asked workers that the call asked about: those of [before] without a valid ticket
 * @param missing those of [chosen] without a valid ticket
 */
internal fun answerCoverage(
    before: Set<String>,
    asked: Set<String>,
    chosen: Set<String>,
    missing: Set<String>
): AnswerCoverage {
    val notAsked = missing - asked
    return AnswerCoverage(
        chosen.size,
        missing.size,
        lapsed = notAsked.count { it in before },
        added = notAsked.count { it !in before }
    )
}

internal fun WaitFacts.reason(): WaitReason = when {
    pausedForMs > 0 -> WaitReason.PAUSED
    isFailing -> WaitReason.FAILING
    ceiling != null -> WaitReason.CEILING
    isBeyondRate -> WaitReason.BEYOND_RATE
    advice != null && advice.asked == 0 -> WaitReason.NO_ANSWER
    isCalling -> WaitReason.CALLING
    isQueued -> WaitReason.QUEUED
    missing > 0 -> WaitReason.NO_TICKETS
    waitingForPlace > 0 -> WaitReason.LOCALITY
    else -> WaitReason.NO_ROOM
}

/**
 * Formats the reason and its inputs for the log.
 *
 * @param fitting computes the number of tasks that fit on the allowed workers; called if needed
 */
internal fun WaitFacts.describe(fitting: () -> Int): String {
    val calls = advice?.let { ", ${it.describe()}" }.orEmpty()
    return when (reason()) {
        WaitReason.PAUSED -> "paused for $pausedForMs ms after a refusal"
        WaitReason.FAILING -> "its runs only fail, and the first ones are not decided"
        WaitReason.CEILING -> ceiling?.describe().orEmpty()
        WaitReason.BEYOND_RATE -> "beyond its customer's rate while others wait"
        WaitReason.NO_ANSWER -> "no answer of the adviser yet, $usable workers to ask about$calls"
        WaitReason.CALLING -> "a further call to the adviser$calls"
        WaitReason.QUEUED -> "no valid ticket, and no host is free for a call$calls"
        WaitReason.LOCALITY -> "$waitingForPlace tasks wait for room near their data or group"
        WaitReason.NO_ROOM -> {
            val known = advice?.let { ", ${it.asked} asked" }.orEmpty()
            val kept = if (keptMillis > 0) ", kept for others $keptMillis" else ""
            "no room: ${fitting()} tasks fit on $allowed allowed of $usable workers" +
                "$kept$known$calls"
        }
        WaitReason.NO_TICKETS -> {
            val held = "${advice?.ticketed ?: 0} of $allowed allowed hold one"
            "tickets missing: $missing of $chosen chosen workers, $held$calls"
        }
    }
}

private fun CeilingFacts.describe(): String =
    "customer $customerId is at its ceiling: holds ${held.text()}, claims ${claimed.text()}, " +
        "of ${ceiling.text()}"

private fun Resources.text(): String {
    val parts = listOf(cpuMillis, memoryMib, accelerators)
    return parts.joinToString("/") { if (it >= MAX_RESOURCE) "-" else it.toString() }
}

private fun AdviceFacts.describe(): String {
    val next = when {
        callInFlight -> "call under way"
        behind == null -> "no call wanted"
        else -> "call behind $behind steps"
    }
    val use = lastAnswer?.let {
        "; after the last answer ${it.missing} of ${it.chosen} missing, " +
            "${it.lapsed} lapsed, ${it.added} chosen since the call began"
    }
    return "$next, $calls calls made${use.orEmpty()}"
}
