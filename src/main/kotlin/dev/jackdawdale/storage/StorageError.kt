package dev.jackdawdale.storage

import java.io.IOException
import java.nio.file.Path

/** Why a data folder cannot be used. */
internal sealed interface StorageError {
    /** Synced bytes are not what was written. The process must stop using this folder. */
    data class Damaged(val file: Path, val offset: Long, val reason: String) : StorageError

    /** An I/O operation failed; writes since the last sync may be lost. */
    data class Failed(val file: Path, val reason: String) : StorageError

    /** Less free space than the configured reserve; nothing was written. */
    data class Full(val folder: Path, val usableBytes: Long) : StorageError

    /** Another process uses the folder. */
    data class InUse(val folder: Path) : StorageError
}

/** Error message with the file, and the offset where it is known. */
internal val StorageError.message: String
    get() = when (this) {
        is StorageError.Damaged -> "$file is damaged at offset $offset: $reason"
        is StorageError.Failed -> "cannot write $file: $reason"
        is StorageError.Full -> "only $usableBytes bytes are free in $folder"
        is StorageError.InUse -> "$folder is in use by another process"
    }

/** Thrown by file operations; carries a [StorageError]. */
internal class StorageException(val error: StorageError, cause: Throwable? = null) :
    IOException(error.message, cause)

internal fun damaged(file: Path, offset: Long, reason: String): Nothing =
    throw StorageException(StorageError.Damaged(file, offset, reason))
