package dev.jackdawdale.entry

/**
 * The entry role of a process.
 *
 * @property defaultDeadlineMs deadline of a request that names none
 * @property maxDeadlineMs longest deadline that a caller may name
 * @property answerGraceMs how long a caller waits past its deadline for the outcome
 * @property commandTimeoutMs longest wait for the leader's reply to a command or query
 * @property maxPollMs upper bound of a worker's long-poll time
 * @property drainGraceMs time between readiness turning false and new work being refused
 * @property drainTimeoutMs longest wait for work in flight while draining
 * @property connectTimeoutMs longest wait for a connection to an endpoint
 * @property endpointIdleMs an idle connection to an endpoint is closed after this time
 * @property maxAnswerBytes longest response body of an endpoint; two must fit into one frame
 * @property maxWaitingBytes total size of the request bodies of callers that wait on this host
 * @property dispatchThreads event loop threads for connections to endpoints
 * @property recentTokens number of acknowledged tokens kept to detect late duplicates
 */
internal data class EntrySettings(
    val defaultDeadlineMs: Long = 30_000,
    val maxDeadlineMs: Long = 3_600_000,
    val answerGraceMs: Long = 5_000,
    val commandTimeoutMs: Long = 10_000,
    val maxPollMs: Long = 10_000,
    val drainGraceMs: Long = 1_000,
    val drainTimeoutMs: Long = 60_000,
    val connectTimeoutMs: Long = 1_000,
    val endpointIdleMs: Long = 4_000,
    val maxAnswerBytes: Int = 1024 * 1024,
    val maxWaitingBytes: Long = 64L * 1024 * 1024,
    val dispatchThreads: Int = 2,
    val recentTokens: Int = 10_000
)
