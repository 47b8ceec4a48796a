package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkId

/**
 * The entry hosts to notify when a request ends. Confined to the control thread.
 * A host that loses its session subscribes again by resending its submissions.
 */
internal class RequestWaiters {
    private val hostsByWork = HashMap<WorkId, Set<HostId>>()

    fun add(workId: WorkId, hostId: HostId) {
        hostsByWork[workId] = hostsByWork[workId].orEmpty() + hostId
    }

    fun take(workId: WorkId): Set<HostId> = hostsByWork.remove(workId).orEmpty()

    fun clear() = hostsByWork.clear()
}
