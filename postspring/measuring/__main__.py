"""``bin/measure SUBJECT``: run a measurement and print its figures."""

import fire

from postspring.measuring import path

SUBJECTS = {"path": path.measure_path, "idle": path.measure_idle}

if __name__ == "__main__":
    fire.Fire(SUBJECTS, name="bin/measure")
