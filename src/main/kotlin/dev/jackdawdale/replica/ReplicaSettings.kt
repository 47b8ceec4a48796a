package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.RaftSettings

/**
 * Settings of one control replica.
 *
 * @property hosts the configured control hosts, this one included; they form the first membership
 * @property snapshotEveryEntries number of applied entries after which a snapshot is taken
 * @property snapshotEveryBytes applied payload bytes after which a snapshot is taken
 * @property retainedEntries entries kept before a snapshot, so that a replica that lacks only a
 *   few does not need the snapshot
 * @property retainedBytes size limit of the retained entries
 * @property leaveEveryMs how often a stopping replica asks whether it is still needed; a commit
 *   takes less on a calm cell
 * @property mayFormCell whether a blank replica may form the first membership
 * @property allowUnlistedHosts whether hosts outside of [hosts] may join as replicas
 * @property seed seed of the election timeouts; must differ between replicas
 */
internal data class ReplicaSettings(
    val hostId: HostId,
    val hosts: List<HostId>,
    val raft: RaftSettings = RaftSettings(),
    val snapshotEveryEntries: Long = 20_000,
    val snapshotEveryBytes: Long = 64L * 1024 * 1024,
    val retainedEntries: Long = 5_000,
    val retainedBytes: Long = 16L * 1024 * 1024,
    val helloEveryMs: Long = 200,
    val leaveEveryMs: Long = 50,
    val mayFormCell: Boolean = true,
    val allowUnlistedHosts: Boolean = false,
    val seed: Long = hostId.value.hashCode().toLong()
)
