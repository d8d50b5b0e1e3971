"""`otterglade demo`: a registry, media hosts and one gateway on this machine."""

from __future__ import annotations

from pathlib import Path

import click

from .common import print_ready, stop_event, wait_for_stop


@click.command()
@click.option("--port", type=click.IntRange(0, 65535), default=0, help="For players; 0: any free one.")
@click.option(
    "--for", "seconds", type=click.FloatRange(min=0.1), default=None, help="End after so many seconds."
)
@click.option("--hosts", type=click.IntRange(1, 32), default=6, show_default=True)
def demo(port: int, seconds: float | None, hosts: int) -> None:
    """Registry, hosts and one gateway in one command: point an HLS player at the printed address."""
    import tempfile
    from dataclasses import replace

    from ..lab.stage import Layout, Stage, StageError

    layout = replace(Layout(hosts=hosts, gateways=1, late_list=0.0), by_probe=False)
    with tempfile.TemporaryDirectory(prefix="otterglade-") as folder:
        stage = Stage(layout, Path(folder), listen=f"127.0.0.1:{port}")
        stop_requested = stop_event()
        try:
            stage.start()
            address = stage.gateways[0].address
            classes = [x["name"] for x in layout.classes]
            titles = list(layout.title_names)
            first = f"http://{address}/watch/{classes[0]}/{titles[0]}.m3u8?viewer=me"
            click.echo(f"play {first}\nend with Ctrl-C", err=True)
            print_ready(gateway=f"http://{address}", classes=classes, titles=titles)
            wait_for_stop(stop_requested, limit=seconds)
        except StageError as error:
            raise click.ClickException(str(error)) from error
        finally:
            stage.stop()
