package dev.jackdawdale.push

import dev.jackdawdale.staged.PushWorker

/**
 * A worker's registration, with its address, capacity and labels.
 *
 * @property sequence rises with each report of the same boot
 */
internal data class WorkerRegistration(val worker: PushWorker, val sequence: Long)
