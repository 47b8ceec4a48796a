package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply

/**
 * Callbacks of the control loop that decide about staged jobs. All run on the control thread.
 *
 * @property becameLeader called with a state that holds all entries committed by earlier leaders
 * @property decide makes the decisions that are due in a pass
 * @property handle handles a command and replies once all earlier decisions are durable
 * @property answer answers a query from the committed state
 */
internal class ControlExtension(
    val becameLeader: (term: Long, state: CellState, nowMs: Long) -> Unit = { _, _, _ -> },
    val lostLeadership: () -> Unit = {},
    val decide: (Pass) -> Unit = {},
    val handle: (Pass, StagedCommand, (StagedReply) -> Unit) -> Unit = { _, _, _ -> },
    val answer: (CellState, StagedQuery) -> StagedReply = { _, _ -> StagedReply.NotConfigured },
    val adviceAnswered: (Pass, HostId, callId: Long, AdviceResult) -> Unit = { _, _, _, _ -> }
)
