package dev.jackdawdale.testing

import java.io.File
import java.util.concurrent.TimeUnit

/**
 * One real process that a test started. Its output goes to [log]; it can be killed, frozen,
 * resumed and started again.
 */
internal class CellProcess(
    val name: String,
    private val command: List<String>,
    val log: File,
    private val folder: File
) : AutoCloseable {
    private var process: Process? = null

    /** When it was frozen, milliseconds since the epoch; null while it runs or is down. */
    var frozenAtMs: Long? = null
        private set

    val pid: Long get() = checkNotNull(process) { "$name was never started" }.pid()
    val isAlive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!isAlive) { "$name runs already" }
        val builder = ProcessBuilder(command)
            .directory(folder)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()["JACKDAWDALE_JAVA_OPTS"] = JAVA_OPTS
        frozenAtMs = null
        process = builder.start()
    }

    /** SIGKILL; returns when the process is gone. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
        frozenAtMs = null
    }

    /** SIGTERM; returns the exit status, or null when it still runs after [timeoutMs]. */
    fun terminate(timeoutMs: Long = 30_000): Int? {
        process?.destroy()
        return awaitExit(timeoutMs)
    }

    fun awaitExit(timeoutMs: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) running.exitValue() else null
    }

    /** SIGSTOP. */
    fun freeze() {
        signal("STOP")
        frozenAtMs = System.currentTimeMillis()
    }

    /** SIGCONT. */
    fun resume() {
        signal("CONT")
        frozenAtMs = null
    }

    override fun close() = kill()

    private fun signal(name: String) {
        val status = ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
        check(status == 0) { "kill -$name $pid ended with $status" }
    }
}

// Small heaps and the first compiler tier keep a cell of ten processes under 1 GiB.
private const val JAVA_OPTS = "-Xmx96m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
