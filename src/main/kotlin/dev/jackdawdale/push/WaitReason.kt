package dev.jackdawdale.push

/** What a waiting step lacks, in the order in which it is looked for. */
internal enum class WaitReason {
    /** A worker refused an order of the job a moment ago. */
    PAUSED,

    /** The adviser has not answered about any worker yet. */
    NO_ANSWER,

    /** A further call about the step is under way; the room that it is about is reserved. */
    CALLING,

    /** The step holds no valid ticket, and no host is free for a call about it. */
    QUEUED,

    /** Chosen workers have no valid ticket. */
    NO_TICKETS,

    /** The allowed workers have no room for the tasks. */
    NO_ROOM
}

/**
 * What one pass found about a step that waits.
 *
 * @property waiting tasks that wait, of [tasks]
 * @property usable workers of the step's service that take orders
 * @property allowed usable workers on which the step may run
 * @property chosen workers chosen for the tasks; none for a gang unless all of it has room
 * @property missing chosen workers without a valid ticket
 * @property isQueued nothing was chosen, as no call about the step can begin
 * @property isCalling nothing was chosen, as a call about the step is under way
 * @property advice null when the step needs none
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
    val isCalling: Boolean = false,
    val isQueued: Boolean = false,
    val advice: AdviceFacts? = null
)

/**
 * What the desk knows about a step.
 *
 * @property asked workers that the adviser answered about
 * @property ticketed workers with a valid ticket
 * @property underWay a call for the step is under way
 * @property behind steps whose calls go first, or null when no call is wanted
 * @property calls calls made for the step so far
 */
internal data class AdviceFacts(
    val asked: Int = 0,
    val ticketed: Int = 0,
    val underWay: Boolean = false,
    val behind: Int? = null,
    val calls: Int = 0,
    val lastAnswer: AnswerUse? = null
)

/**
 * How far the last answer served the choice of workers in the pass that took it.
 *
 * @property chosen workers chosen in that pass
 * @property missing chosen workers without a valid ticket
 * @property lapsed those of [missing] that had a valid ticket when the call began
 * @property added those of [missing] that were not chosen yet when the call began
 */
internal data class AnswerUse(
    val chosen: Int,
    val missing: Int,
    val lapsed: Int = 0,
    val added: Int = 0
)

/**
 * Compares the choice of workers when a call began, [before], with the one after its answer.
 *
 * @param asked workers that the call asked about: those of [before] without a valid ticket
 * @param missing those of [chosen] without a valid ticket
 */
internal fun answerUse(
    before: Set<String>,
    asked: Set<String>,
    chosen: Set<String>,
    missing: Set<String>
): AnswerUse {
    val notAsked = missing - asked
    return AnswerUse(
        chosen.size,
        missing.size,
        lapsed = notAsked.count { it in before },
        added = notAsked.count { it !in before }
    )
}

/** Why the step waits. */
internal fun WaitFacts.reason(): WaitReason = when {
    pausedForMs > 0 -> WaitReason.PAUSED
    advice != null && advice.asked == 0 -> WaitReason.NO_ANSWER
    isCalling -> WaitReason.CALLING
    isQueued -> WaitReason.QUEUED
    missing > 0 -> WaitReason.NO_TICKETS
    else -> WaitReason.NO_ROOM
}

/**
 * The reason with its inputs, for the log.
 *
 * @param fitting tasks that fit on the allowed workers, asked for when it is needed
 */
internal fun WaitFacts.describe(fitting: () -> Int): String {
    val calls = advice?.let { ", ${it.describe()}" }.orEmpty()
    return when (reason()) {
        WaitReason.PAUSED -> "paused for $pausedForMs ms after a refusal"
        WaitReason.NO_ANSWER -> "no answer of the adviser yet, $usable workers to ask about$calls"
        WaitReason.CALLING -> "a further call to the adviser$calls"
        WaitReason.QUEUED -> "no valid ticket, and no host is free for a call$calls"
        WaitReason.NO_ROOM -> {
            val known = advice?.let { ", ${it.asked} asked" }.orEmpty()
            "no room: ${fitting()} tasks fit on $allowed allowed of $usable workers$known$calls"
        }
        WaitReason.NO_TICKETS -> {
            val held = "${advice?.ticketed ?: 0} of $allowed allowed hold one"
            "tickets missing: $missing of $chosen chosen workers, $held$calls"
        }
    }
}

private fun AdviceFacts.describe(): String {
    val next = when {
        underWay -> "call under way"
        behind == null -> "no call wanted"
        else -> "call behind $behind steps"
    }
    val use = lastAnswer?.let {
        "; after the last answer ${it.missing} of ${it.chosen} missing, " +
            "${it.lapsed} lapsed, ${it.added} chosen since the call began"
    }
    return "$next, $calls calls made${use.orEmpty()}"
}
