package dev.jackdawdale.push

import dev.jackdawdale.staged.PushWorker

/**
 * A worker's report of itself.
 *
 * @property sequence rises with each report of the same boot
 */
internal data class WorkerReport(val worker: PushWorker, val sequence: Long)
