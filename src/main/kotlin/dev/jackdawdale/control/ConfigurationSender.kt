package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.wire.ControlMessage

/**
 * Sends contracts to entry hosts, with the time for which they may admit work.
 *
 * A leader without recent contact with a quorum sends nothing: another leader may have committed a
 * contract change that this one has not received.
 */
internal class ConfigurationSender(
    private val settings: ControlSettings,
    private val log: ReplicatedLog,
    private val sessions: ControlSessions,
    private val clock: () -> Long
) {
    private var sentMs = 0L

    /** Makes the next [sendDue] send at once, after a contract change or a leader change. */
    fun sendSoon() {
        sentMs = 0
    }

    fun sendDue(committed: CellState, term: Long) {
        val nowMs = clock()
        if (nowMs - sentMs < settings.configurationIntervalMs) return
        sentMs = nowMs
        sessions.all.forEach { send(it, committed, term) }
    }

    fun send(session: ControlSession, committed: CellState, term: Long) {
        val status = log.status()
        if (clock() - status.quorumHeardAtMs > settings.quorumFreshMs) return
        session.link.send(configuration(session, committed, term, status.commitIndex))
    }

    /** The contracts that changed since the last configuration sent in this session. */
    private fun configuration(
        session: ControlSession,
        committed: CellState,
        term: Long,
        commitIndex: Long
    ): ControlMessage.Configuration {
        val sent = session.sentVersions
        val changed = committed.contracts.values.filter { sent[it.customerId] != it.version }
        session.sentVersions = sent + changed.map { it.customerId to it.version }
        val validForMs = settings.configurationValidMs
        return ControlMessage.Configuration(term, commitIndex, changed, validForMs)
    }
}
