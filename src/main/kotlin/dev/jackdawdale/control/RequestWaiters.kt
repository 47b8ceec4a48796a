package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkId

/**
 * Which entry hosts want to know the end of which request. Only the control thread touches it.
 * A host that lost its session asks again by resending its submits.
 */
internal class RequestWaiters {
    private val hostsByWork = HashMap<WorkId, Set<HostId>>()

    fun add(workId: WorkId, hostId: HostId) {
        hostsByWork[workId] = hostsByWork[workId].orEmpty() + hostId
    }

    fun take(workId: WorkId): Set<HostId> = hostsByWork.remove(workId).orEmpty()

    fun clear() = hostsByWork.clear()
}
