package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId

/** The control hosts that are asked for the leader. Safe to use from any thread. */
internal class KnownHosts(configured: List<HostId>, private val isReachable: (HostId) -> Boolean) {
    @Volatile
    var hosts: List<HostId> = configured
        private set

    /** Adds the control hosts that a leader named; the configured ones stay. */
    @Synchronized
    fun learn(members: List<HostId>) {
        hosts = (hosts + members.filter(isReachable)).distinct()
    }

    /** Adds a host that was named as the leader; false when there is no way to it. */
    fun follow(leader: HostId): Boolean {
        learn(listOf(leader))
        return leader in hosts
    }
}
