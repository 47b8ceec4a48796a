package dev.jackdawdale.model

import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.plus

internal fun CellState.applyJobAccepted(event: Event.JobAccepted, atMs: Long): CellState {
    val spec = event.spec
    val waiting = tasks.mutate { all ->
        for (index in 0 until spec.taskCount) {
            val id = taskId(spec.workId, index)
            all[id] = Task(id, spec.workId, index, spec.perTask, waitingSinceMs = atMs)
        }
    }
    val job = JobWork(spec, event.contractVersion, atMs)
    return copy(jobs = jobs.put(spec.workId, job), tasks = waiting)
}

internal fun CellState.applyJobEnded(event: Event.JobEnded, atMs: Long): CellState {
    val job = jobs[event.workId] ?: return this
    val released = tasksOf(job).fold(this) { state, task -> state.releaseCapacity(task) }
    val remaining = released.tasks.mutate { all ->
        for (index in 0 until job.spec.taskCount) all.remove(taskId(event.workId, index))
    }
    val endedWork = EndedWork(event.workId, event.outcome, nextRecordNumber, atMs)
    return released.copy(
        jobs = jobs - event.workId,
        tasks = remaining,
        ended = ended.put(event.workId, endedWork),
        nextRecordNumber = nextRecordNumber + 1
    )
}

internal fun CellState.applyTaskPlaced(event: Event.TaskPlaced, atMs: Long): CellState {
    val task = tasks[event.taskId] ?: return this
    val worker = workers[event.workerId] ?: return this
    val placement = TaskPlacement(
        workerId = event.workerId,
        workerIncarnation = event.workerIncarnation,
        token = event.token,
        counted = event.counted,
        placedAtMs = atMs
    )
    val placed = task.copy(
        phase = TaskPhase.PLACED,
        placement = placement,
        attempts = task.attempts + 1
    )
    val updatedWorker = worker.copy(
        allocated = worker.allocated + event.counted,
        taskIds = worker.taskIds + event.taskId
    )
    return copy(
        tasks = tasks.put(event.taskId, placed),
        workers = workers.put(event.workerId, updatedWorker),
        nextToken = FencingToken(maxOf(nextToken.value, event.token.value + 1))
    )
}

internal fun CellState.applyTaskStarted(event: Event.TaskStarted, atMs: Long): CellState {
    val task = placedTask(event.taskId, event.token) ?: return this
    if (task.phase != TaskPhase.PLACED) return this
    val placement = task.placement?.copy(startedAtMs = atMs)
    val running = task.copy(phase = TaskPhase.RUNNING, placement = placement)
    return copy(tasks = tasks.put(event.taskId, running))
}

internal fun CellState.applyTaskStopRequested(event: Event.TaskStopRequested): CellState {
    val task = placedTask(event.taskId, event.token) ?: return this
    val placement = task.placement?.copy(stopReason = event.reason)
    val stopping = task.copy(phase = TaskPhase.STOPPING, placement = placement)
    return copy(tasks = tasks.put(event.taskId, stopping))
}

internal fun CellState.applyTaskAllocationChanged(event: Event.TaskAllocationChanged): CellState {
    val task = placedTask(event.taskId, event.token) ?: return this
    val placement = task.placement ?: return this
    val worker = workers[placement.workerId] ?: return this
    val counted = event.counted.componentwiseMax(task.declared)
    val recounted = task.copy(placement = placement.copy(counted = counted))
    val allocated = worker.allocated - placement.counted + counted
    return copy(
        tasks = tasks.put(event.taskId, recounted),
        workers = workers.put(placement.workerId, worker.copy(allocated = allocated))
    )
}

internal fun CellState.applyTaskEnded(event: Event.TaskEnded, atMs: Long): CellState {
    val task = placedTask(event.taskId, event.token) ?: return this
    val placement = task.placement ?: return this
    val succeeded = event.result == TaskResult.SUCCEEDED
    val failed = event.result == TaskResult.FAILED
    val preempted = placement.stopReason == StopReason.PREEMPTED
    val ended = task.copy(
        phase = if (succeeded) TaskPhase.SUCCEEDED else TaskPhase.WAITING,
        placement = null,
        failures = task.failures + if (failed) 1 else 0,
        preemptions = task.preemptions + if (preempted) 1 else 0,
        notBeforeMs = event.notBeforeMs,
        waitingSinceMs = atMs
    )
    val released = releaseCapacity(task)
    val job = released.jobs[task.workId] ?: return released
    val updatedJob = job.copy(
        succeededTasks = job.succeededTasks + if (succeeded) 1 else 0,
        failedWorkers =
        if (failed) job.failedWorkers + placement.workerId else job.failedWorkers
    )
    return released.copy(
        tasks = released.tasks.put(event.taskId, ended),
        jobs = released.jobs.put(task.workId, updatedJob)
    )
}

internal fun CellState.applyTaskLost(event: Event.TaskLost, atMs: Long): CellState {
    val task = placedTask(event.taskId, event.token) ?: return this
    val waiting = task.copy(
        phase = TaskPhase.WAITING,
        placement = null,
        waitingSinceMs = atMs
    )
    val released = releaseCapacity(task)
    return released.copy(tasks = released.tasks.put(event.taskId, waiting))
}

internal fun CellState.applyCancelRequested(event: Event.CancelRequested): CellState {
    val request = requests[event.workId]
    if (request != null) {
        return copy(requests = requests.put(event.workId, request.copy(cancelRequested = true)))
    }
    val job = jobs[event.workId] ?: return this
    return copy(jobs = jobs.put(event.workId, job.copy(cancelRequested = true)))
}

/** The task, or null when [token] is not the token of its current placement. */
private fun CellState.placedTask(taskId: TaskId, token: FencingToken): Task? =
    tasks[taskId]?.takeIf { it.placement?.token == token }

private fun CellState.releaseCapacity(task: Task): CellState {
    val placement = task.placement ?: return this
    val worker = workers[placement.workerId] ?: return this
    val updatedWorker = worker.copy(
        allocated = worker.allocated - placement.counted,
        taskIds = worker.taskIds - task.taskId
    )
    if (updatedWorker.phase == WorkerPhase.LOST && updatedWorker.taskIds.isEmpty()) {
        return copy(workers = workers - placement.workerId)
    }
    return copy(workers = workers.put(placement.workerId, updatedWorker))
}
