package dev.jackdawdale.staged

import dev.jackdawdale.model.Contract
import kotlinx.serialization.Serializable

/**
 * Cost and validity of advice about the workers that a queue's policy allows.
 *
 * @property decisionMs fixed processing time of the adviser per call
 * @property perWorkerMs additional processing time per worker asked about
 * @property validMs validity of a ticket from when it was given
 */
@Serializable
data class AdviceTerms(val decisionMs: Double, val perWorkerMs: Double, val validMs: Long)

/**
 * A queue for staged jobs: the address of its calls and the terms of its jobs.
 *
 * @property host host name in the calls
 * @property pathPrefix prefix of the path of its calls
 * @property service name of the worker pool that runs its tasks
 * @property priority 0 is the highest
 * @property maxAttempts number of failed runs after which a task, and so the job, fails
 * @property stretch a job is on time within this multiple of its longest chain of steps
 * @property targetLatencyMs time allowed on top of that
 * @property timeoutMs timeout for the answer to one call
 * @property isPublic calls need no key, also where customers are configured
 */
@Serializable
data class QueueSpec(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val service: String,
    val priority: Int = 0,
    val maxAttempts: Int = 1,
    val stretch: Double = 1.0,
    val targetLatencyMs: Long = 0,
    val timeoutMs: Long = 0,
    val advice: AdviceTerms? = null,
    val isPublic: Boolean = false
)

/**
 * The queues, as configured by an operator.
 *
 * @property version the highest version wins
 * @property document the original text
 * @property services names of the worker pools; empty when stored by an earlier release
 * @property customers contracts of the customers that may use the queues, with the hashes of their
 *   keys; null where the installation has no customers and calls need no key
 */
@Serializable
data class QueueConfiguration(
    val version: Long,
    val document: String,
    val queues: List<QueueSpec>,
    val services: List<String> = emptyList(),
    val customers: List<Contract>? = null
)

/** The queue that takes calls for [path] on [host]: the one with the longest matching prefix. */
fun QueueConfiguration.queueFor(host: String, path: String): QueueSpec? = queues
    .filter { it.host == host && path.startsWith(it.pathPrefix) }
    .maxByOrNull { it.pathPrefix.length }

/** The job id in [path], or null when the path names the queue itself. */
fun QueueSpec.jobIdIn(path: String): String? = path.substring(pathPrefix.length).ifEmpty { null }

/** Whether both queues take the same calls. */
fun QueueSpec.isAt(other: QueueSpec): Boolean = host == other.host && pathPrefix == other.pathPrefix
