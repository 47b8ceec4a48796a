package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId

/** The control hosts that are asked whether they lead. Thread-safe. */
internal class KnownHosts(configured: List<HostId>, private val isReachable: (HostId) -> Boolean) {
    @Volatile
    var hosts: List<HostId> = configured
        private set

    /** Adds control hosts whose address is known; existing ones stay. */
    @Synchronized
    fun learn(members: List<HostId>) {
        hosts = (hosts + members.filter(isReachable)).distinct()
    }

    /** Adds the host that a replica named as leader; false if its address is unknown. */
    fun addLeader(leader: HostId): Boolean {
        learn(listOf(leader))
        return leader in hosts
    }
}
