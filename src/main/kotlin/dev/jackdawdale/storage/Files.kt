package dev.jackdawdale.storage

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C

/** Called before each write and sync of a file; a test throws from it to make the disk fail. */
internal typealias WriteCheck = (file: Path) -> Unit

/** Runs [action]; an I/O error becomes a [StorageException] that names [file]. */
internal inline fun <T> onDisk(file: Path, check: WriteCheck = {}, action: () -> T): T = try {
    check(file)
    action()
} catch (e: StorageException) {
    throw e
} catch (e: IOException) {
    throw StorageException(StorageError.Failed(file, e.message ?: e.toString()), e)
}

/** Makes the directory entries of [folder] durable. */
internal fun syncFolder(folder: Path) = onDisk(folder) {
    FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }
}

internal fun createFolder(folder: Path) = onDisk(folder) {
    if (!Files.isDirectory(folder)) {
        Files.createDirectories(folder)
        folder.parent?.let(::syncFolder)
    }
}

internal fun filesIn(folder: Path, suffix: String): List<Path> = onDisk(folder) {
    Files.list(folder).use { files ->
        files.filter { it.fileName.toString().endsWith(suffix) }.sorted().toList()
    }
}

private const val TEMPORARY_SUFFIX = ".tmp"
private const val CRC_BYTES = 4

/** Replaces [file] by [parts] and their CRC32C; a crash leaves the old or the new content. */
internal fun replaceDurably(file: Path, parts: List<ByteArray>, check: WriteCheck) {
    val temporary = file.resolveSibling(file.fileName.toString() + TEMPORARY_SUFFIX)
    onDisk(file, check) {
        val options = arrayOf(
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE
        )
        FileChannel.open(temporary, *options).use { channel ->
            val crc = CRC32C()
            parts.forEach { part ->
                crc.update(part)
                channel.writeFully(ByteBuffer.wrap(part))
            }
            val footer = ByteBuffer.allocate(CRC_BYTES).putInt(crc.value.toInt()).flip()
            channel.writeFully(footer)
            channel.force(true)
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE)
        syncFolder(file.parent)
    }
}

/** The content that [replaceDurably] wrote, or null when there is no such file. */
internal fun readChecked(file: Path): ByteArray? {
    if (!Files.exists(file)) return null
    val bytes = onDisk(file) { Files.readAllBytes(file) }
    if (bytes.size < CRC_BYTES) damaged(file, 0, "shorter than its checksum")
    val length = bytes.size - CRC_BYTES
    val crc = CRC32C().apply { update(bytes, 0, length) }
    if (ByteBuffer.wrap(bytes).getInt(length) != crc.value.toInt()) {
        damaged(file, 0, "checksum does not match")
    }
    return bytes.copyOf(length)
}

internal fun FileChannel.writeFully(buffer: ByteBuffer) {
    while (buffer.hasRemaining()) write(buffer)
}
