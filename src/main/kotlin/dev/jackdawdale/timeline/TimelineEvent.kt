package dev.jackdawdale.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal enum class EventKind {
    @SerialName("host_started")
    HOST_STARTED,

    @SerialName("host_stopping")
    HOST_STOPPING,

    @SerialName("leader_elected")
    LEADER_ELECTED,

    @SerialName("leadership_lost")
    LEADERSHIP_LOST,

    @SerialName("session_opened")
    SESSION_OPENED,

    @SerialName("session_lost")
    SESSION_LOST,

    @SerialName("work_accepted")
    WORK_ACCEPTED,

    @SerialName("work_refused")
    WORK_REFUSED,

    @SerialName("work_placed")
    WORK_PLACED,

    @SerialName("work_retried")
    WORK_RETRIED,

    @SerialName("dispatch_sent")
    DISPATCH_SENT,

    @SerialName("dispatch_expired")
    DISPATCH_EXPIRED,

    @SerialName("attempt_finished")
    ATTEMPT_FINISHED,

    /** A result arrived for an abandoned attempt and was ignored. */
    @SerialName("late_result_dropped")
    LATE_RESULT_DROPPED,

    @SerialName("task_placed")
    TASK_PLACED,

    @SerialName("task_started")
    TASK_STARTED,

    @SerialName("task_ended")
    TASK_ENDED,

    @SerialName("work_ended")
    WORK_ENDED,

    @SerialName("contract_changed")
    CONTRACT_CHANGED,

    @SerialName("member_joined")
    MEMBER_JOINED,

    @SerialName("member_left")
    MEMBER_LEFT,

    @SerialName("member_lost")
    MEMBER_LOST,

    @SerialName("operator_action")
    OPERATOR_ACTION,

    @SerialName("error")
    ERROR
}

/**
 * One event of one process.
 *
 * @property subjects ids that the event is about: work, task, endpoint, worker, host or customer
 * @property details free text for people
 */
@Serializable
internal data class TimelineEvent(
    val time: HybridTime,
    val host: String,
    val kind: EventKind,
    val subjects: List<String>,
    val details: String = ""
)

/** True when the event is about [subject], or about a task of the job [subject]. */
internal fun TimelineEvent.isAbout(subject: String): Boolean =
    subjects.any { it == subject || it.startsWith("$subject#") }
