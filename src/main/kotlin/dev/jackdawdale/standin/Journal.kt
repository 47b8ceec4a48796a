package dev.jackdawdale.standin

import java.io.Closeable
import java.io.FileOutputStream
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

/** Type of an event at a sample endpoint or worker. */
@Serializable
internal enum class JournalEvent {
    /** The process has started; the line has its capacity or slots. */
    @SerialName("up")
    UP,

    @SerialName("start")
    START,

    @SerialName("end")
    END,

    /** The work was stopped early: by an order, an expired lease or a broken connection. */
    @SerialName("stop")
    STOP,

    /** An order was refused because its token was not new. */
    @SerialName("refused")
    REFUSED,

    /** The process announced that it is leaving. */
    @SerialName("leaving")
    LEAVING,

    @SerialName("down")
    DOWN
}

/**
 * One line of a journal. Checks rely on the journals, not on what the system itself reports.
 *
 * @property atMs time of the event, milliseconds since the epoch
 * @property source id of the endpoint or worker
 * @property bodySha256 hexadecimal SHA-256 of the received request body
 * @property result succeeded, failed, cut, or why the work was stopped
 * @property inUse slots in use after the event, for endpoints
 * @property cpuMillis declared CPU of the task, or the capacity in `up`
 * @property usedCpuMillis sum of the declared CPU of running tasks after the event
 */
@Serializable
internal data class JournalLine(
    val atMs: Long,
    val source: String,
    val incarnation: Long,
    val event: JournalEvent,
    val workId: String? = null,
    val taskId: String? = null,
    val token: Long? = null,
    val bodySha256: String? = null,
    val result: String? = null,
    val inUse: Int? = null,
    val slots: Int? = null,
    val cpuMillis: Long? = null,
    val memoryMib: Long? = null,
    val accelerators: Long? = null,
    val usedCpuMillis: Long? = null,
    val usedMemoryMib: Long? = null,
    val usedAccelerators: Long? = null
)

/** Appends lines to a file; each line is handed to the operating system before [write] returns. */
internal class Journal(path: Path) : Closeable {
    private val out = FileOutputStream(path.toFile(), true)

    @Synchronized
    fun write(line: JournalLine) {
        out.write((snakeJson.encodeToString(line) + "\n").encodeToByteArray())
    }

    @Synchronized
    override fun close() = out.close()
}

/** Reads a journal; leaves out a last line that was truncated by a kill. */
internal fun readJournal(path: Path): List<JournalLine> {
    if (!Files.exists(path)) return emptyList()
    val text = Files.readString(path)
    return text.substringBeforeLast('\n', "").lines().filter { it.isNotBlank() }
        .map { snakeJson.decodeFromString<JournalLine>(it) }
}
