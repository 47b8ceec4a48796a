package dev.jackdawdale.testing

import java.io.File
import java.util.concurrent.TimeUnit

/**
 * An operating system process that a test can start, kill, pause and resume. Its output goes to
 * [log].
 */
internal class CellProcess(
    val name: String,
    private val command: List<String>,
    val log: File,
    private val folder: File
) : AutoCloseable {
    private var process: Process? = null

    /** Time of [pause] in milliseconds since the epoch; null unless the process is paused. */
    var pausedAtMs: Long? = null
        private set

    val pid: Long get() = checkNotNull(process) { "$name has never been started" }.pid()
    val isAlive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!isAlive) { "$name is already running" }
        val builder = ProcessBuilder(command)
            .directory(folder)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()["JACKDAWDALE_JAVA_OPTS"] = JAVA_OPTS
        pausedAtMs = null
        process = builder.start()
    }

    /** Sends SIGKILL and waits for the exit. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
        pausedAtMs = null
    }

    /** Sends SIGTERM; returns the exit status, or null if it still runs after [timeoutMs]. */
    fun terminate(timeoutMs: Long = 30_000): Int? {
        process?.destroy()
        return awaitExit(timeoutMs)
    }

    fun awaitExit(timeoutMs: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) running.exitValue() else null
    }

    /** Sends SIGSTOP. */
    fun pause() {
        signal("STOP")
        pausedAtMs = System.currentTimeMillis()
    }

    /** Sends SIGCONT. */
    fun resume() {
        signal("CONT")
        pausedAtMs = null
    }

    override fun close() = kill()

    private fun signal(name: String) {
        val status = ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
        check(status == 0) { "kill -$name $pid ended with $status" }
    }
}

// Small heaps and the first compiler tier keep a cell of ten processes under 1 GiB.
private const val JAVA_OPTS = "-Xmx96m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
