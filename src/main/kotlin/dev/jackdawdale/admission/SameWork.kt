package dev.jackdawdale.admission

import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.RequestSpec

/**
 * True when a resent request asks for the same work. Deadline, urgency and declared run time are
 * not compared: they only affect when it runs, and a resend has a later deadline.
 */
internal fun isSameRequest(first: RequestSpec, resent: RequestSpec): Boolean =
    first.workId == resent.workId &&
        first.customerId == resent.customerId &&
        first.service == resent.service &&
        first.idempotent == resent.idempotent &&
        first.kind == resent.kind &&
        first.contentType == resent.contentType &&
        first.body == resent.body

/** True when a resent job asks for the same tasks; urgency only affects when they run. */
internal fun isSameJob(first: JobSpec, resent: JobSpec): Boolean =
    first == resent.copy(urgency = first.urgency)
