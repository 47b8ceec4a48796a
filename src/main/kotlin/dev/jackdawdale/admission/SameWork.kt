package dev.jackdawdale.admission

import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.RequestSpec

/**
 * True when a resent request asks for the same run. Deadline, urgency and declared run time only
 * say when to run it, and a resend has a later deadline, so they do not count.
 */
internal fun isSameRequest(first: RequestSpec, resent: RequestSpec): Boolean =
    first.workId == resent.workId &&
        first.customerId == resent.customerId &&
        first.service == resent.service &&
        first.idempotent == resent.idempotent &&
        first.kind == resent.kind &&
        first.contentType == resent.contentType &&
        first.body == resent.body

/** True when a resent job asks for the same tasks; urgency only says when to run them. */
internal fun isSameJob(first: JobSpec, resent: JobSpec): Boolean =
    first == resent.copy(urgency = first.urgency)
