package dev.jackdawdale.model

import dev.jackdawdale.staged.StagedState
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The replicated state of a cell. It changes only through [apply], so that all replicas that apply
 * the same events have the same state.
 *
 * @property requests requests that have not ended
 * @property jobs jobs that have not ended
 * @property tasks tasks of [jobs]
 * @property ended work that ended within the dedup window, oldest first
 * @property changes operators' changes within the dedup window, oldest first
 * @property staged jobs of several steps, with their workers and queues
 * @property nextRecordNumber number of the next record of ended work, from 0
 * @property lastBatchMs leader's time of the last batch; lower bound for a new leader's time
 */
data class CellState(
    val contracts: PersistentMap<CustomerId, Contract> = persistentHashMapOf(),
    val changes: PersistentMap<ChangeId, AppliedChange> = persistentMapOf(),
    val lastChanges: PersistentMap<CustomerId, ChangeId> = persistentHashMapOf(),
    val requests: PersistentMap<WorkId, RequestWork> = persistentHashMapOf(),
    val jobs: PersistentMap<WorkId, JobWork> = persistentHashMapOf(),
    val tasks: PersistentMap<TaskId, Task> = persistentHashMapOf(),
    val ended: PersistentMap<WorkId, EndedWork> = persistentMapOf(),
    val workers: PersistentMap<WorkerId, Worker> = persistentHashMapOf(),
    val endpoints: PersistentMap<EndpointId, Endpoint> = persistentHashMapOf(),
    val entryHosts: PersistentMap<HostId, EntryHost> = persistentHashMapOf(),
    val staged: StagedState = StagedState(),
    val nextToken: FencingToken = FencingToken(1),
    val nextRecordNumber: Long = 0,
    val lastBatchMs: Long = 0
)

/** The tasks of [job] in order of their index. */
fun CellState.tasksOf(job: JobWork): List<Task> =
    (0 until job.spec.taskCount).mapNotNull { tasks[taskId(job.spec.workId, it)] }

/** The contract of [customerId], or null when the customer has none. */
fun CellState.contractOf(customerId: CustomerId): Contract? = contracts[customerId]
