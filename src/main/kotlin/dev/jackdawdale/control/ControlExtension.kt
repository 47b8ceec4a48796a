package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply

/**
 * Decisions about staged jobs, as the control loop calls them. All functions run on the control
 * thread.
 *
 * @property becameLeader the state holds everything that earlier leaders committed
 * @property decide decides what is due in a pass
 * @property handle decides a command and replies once everything decided before is durable
 * @property answer answers a question from the committed state
 */
internal class ControlExtension(
    val becameLeader: (term: Long, state: CellState, nowMs: Long) -> Unit = { _, _, _ -> },
    val lostLeadership: () -> Unit = {},
    val decide: (Pass) -> Unit = {},
    val handle: (Pass, StagedCommand, (StagedReply) -> Unit) -> Unit = { _, _, _ -> },
    val answer: (CellState, StagedQuery) -> StagedReply = { _, _ -> StagedReply.NotConfigured },
    val adviceAnswered: (Pass, HostId, callId: Long, AdviceResult) -> Unit = { _, _, _, _ -> }
)
