package dev.jackdawdale.staged

import kotlinx.serialization.Serializable

/**
 * Advice about the workers that a queue's policy allows.
 *
 * @property decisionMs time that the adviser takes for one call
 * @property perWorkerMs time that it takes in addition for each worker asked about
 * @property validMs how long a ticket may be used after it was given
 */
@Serializable
data class AdviceTerms(val decisionMs: Double, val perWorkerMs: Double, val validMs: Long)

/**
 * A queue for staged jobs: where its calls arrive and under which terms its jobs run.
 *
 * @property host name that callers use for it
 * @property pathPrefix start of the path of its calls
 * @property service name of the worker pool that runs its tasks
 * @property priority 0 goes first
 * @property maxAttempts failed runs after which a task, and with it the job, fails
 * @property stretch multiple of the longest chain of work that a job may take
 * @property targetLatencyMs allowed on top of that
 * @property timeoutMs longest time for the answer to one call
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
    val advice: AdviceTerms? = null
)

/**
 * The configuration that operators write: the queues in force.
 *
 * @property version the highest version wins
 * @property document the text as the operator sent it
 */
@Serializable
data class QueueConfiguration(val version: Long, val document: String, val queues: List<QueueSpec>)

/** The queue that takes calls for [path] on [host]: the one with the longest matching prefix. */
fun QueueConfiguration.queueFor(host: String, path: String): QueueSpec? = queues
    .filter { it.host == host && path.startsWith(it.pathPrefix) }
    .maxByOrNull { it.pathPrefix.length }

/** The job id in [path], or null when the path names the queue itself. */
fun QueueSpec.jobIdIn(path: String): String? = path.substring(pathPrefix.length).ifEmpty { null }
