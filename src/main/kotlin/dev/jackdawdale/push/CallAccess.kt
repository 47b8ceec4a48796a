package dev.jackdawdale.push

import dev.jackdawdale.model.Contract
import dev.jackdawdale.staged.JobOwner
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.QueueSpec
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.isAt
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.jobAt
import dev.jackdawdale.staged.jobIdIn
import dev.jackdawdale.staged.queueFor

/**
 * What a call is about.
 *
 * @property queue the queue that takes calls for the path in the present configuration
 * @property jobId the job id in the path, as of [queue]; null when the path names the queue
 * @property job the job at the path, also when its queue was changed or dropped since
 */
internal data class CallTarget(val queue: QueueSpec?, val jobId: String?, val job: StagedJob?)

internal fun StagedState.targetOf(host: String, path: String): CallTarget {
    val queue = configuration?.queueFor(host, path)
    val jobId = queue?.jobIdIn(path)
    return CallTarget(queue, jobId, jobAt(host, path) ?: jobId?.let(::job))
}

/** Why a call is refused before anything else is decided about it. */
internal enum class Denial(val reply: StagedReply) {
    NOT_CONFIGURED(StagedReply.NotConfigured),
    NO_QUEUE(StagedReply.NoSuchQueue),
    NO_KEY(StagedReply.UnknownKey),
    UNKNOWN_KEY(StagedReply.UnknownKey),
    OTHER_CUSTOMER(StagedReply.OtherCustomer)
}

/** Whether a call may be handled. */
internal sealed interface CallAccess {
    /** The call may be handled; [owner] owns a job that it submits. */
    data class Granted(val owner: JobOwner?) : CallAccess

    data class Denied(val reason: Denial) : CallAccess
}

/**
 * Decides whether a call about [target] with the key of [keyHash] may be handled, by the
 * configuration in [state]. Any number of keys may be revoked or added with a version, so that
 * nothing is remembered about a key. Calls are remembered: see [JobOwner].
 *
 * @param keyHash empty without a key
 * @param submit the submit, or null for a read or a cancel
 */
internal fun accessTo(
    state: StagedState,
    target: CallTarget,
    keyHash: String,
    submit: StagedCommand.Submit? = null
): CallAccess {
    val configuration = state.configuration
    val customers = configuration?.customers
    val holder = customers?.holderOf(keyHash)
    val denial = when {
        target.job != null -> target.denialOfJob(configuration, holder, keyHash, submit)
        configuration == null -> Denial.NOT_CONFIGURED
        target.queue == null -> Denial.NO_QUEUE
        customers == null || target.queue.isPublic || holder != null -> null
        else -> denialOfKey(keyHash)
    }
    if (denial != null) return CallAccess.Denied(denial)
    return CallAccess.Granted(holder?.let { JobOwner(it.customerId, submit?.callId.orEmpty()) })
}

private fun CallTarget.denialOfJob(
    configuration: QueueConfiguration?,
    holder: Contract?,
    keyHash: String,
    submit: StagedCommand.Submit?
): Denial? {
    val known = checkNotNull(job)
    val owner = known.owner
    val isOwners = owner == null || owner.customerId == holder?.customerId
    return when {
        configuration?.customers == null || isOpen(known, configuration) -> null
        // A refused repetition would report a job that runs as refused.
        submit != null && (owner == null || owner.isOf(submit)) -> null
        holder != null && isOwners -> null
        // Without access to the job, the call is one for a queue that does not exist.
        queue == null -> Denial.NO_QUEUE
        holder == null -> denialOfKey(keyHash)
        else -> Denial.OTHER_CUSTOMER
    }
}

/**
 * Whether calls for [job] need no key: neither its own queue nor the one that takes the path now
 * demands one. Otherwise a public queue that takes over a path would open the jobs of the other.
 */
private fun CallTarget.isOpen(job: StagedJob, configuration: QueueConfiguration): Boolean {
    val own = configuration.queues.find(job.terms::isAt) ?: job.terms
    return own.isPublic && queue?.isPublic != false
}

/** A new call with a key that was revoked is no repetition: its key is judged as it is now. */
private fun JobOwner.isOf(submit: StagedCommand.Submit): Boolean =
    submit.callId.isNotEmpty() && submit.callId == callId

private fun denialOfKey(keyHash: String): Denial =
    if (keyHash.isEmpty()) Denial.NO_KEY else Denial.UNKNOWN_KEY

private fun List<Contract>.holderOf(keyHash: String): Contract? =
    find { contract -> contract.tokenHashes.any { it.hashHex == keyHash } }
