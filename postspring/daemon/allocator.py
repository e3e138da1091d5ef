"""Has the C library return the memory of long buffers that are freed."""

import ctypes
import logging

__all__ = ["fix_mapping_threshold"]

LOG = logging.getLogger(__name__)

# From malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3
# The library's own initial value, in bytes.  It raises it, up to 32 MiB, when
# a longer buffer is freed; such buffers then come from the heap, where what is
# freed between others stays with the process.
MAPPING_THRESHOLD_BYTES = 128 * 1024


def fix_mapping_threshold() -> None:
    """Keep long buffers out of the heap, whatever has been freed before."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        LOG.info("allocator not adjusted", extra={"error": str(error)})
        return
    mallopt(M_MMAP_THRESHOLD, MAPPING_THRESHOLD_BYTES)
