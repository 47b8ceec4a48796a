package dev.jackdawdale.control

import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.wire.WorkStage
import dev.jackdawdale.wire.WorkStatus

/** The status of ended work, from its record. */
internal fun WorkRecord.toStatus(nowMs: Long): WorkStatus = WorkStatus(
    workId = workId,
    stage = WorkStage.ENDED,
    contractVersion = contractVersion,
    acceptedAtMs = acceptedAtMs,
    outcome = outcome,
    endedAtMs = endedAtMs,
    answer = answer,
    taskCount = (asked as? Asked.Job)?.spec?.taskCount ?: 0,
    tasksSucceeded = tasksSucceeded,
    attempts = attempts,
    asOfMs = nowMs
)
