# Plots docs/capacity/*.csv, written by slopes.py, as SVG: gnuplot tools/plot.gp
set datafile separator ","
set terminal svg size 640,400
set grid
set key left top
set output "docs/capacity/by_hosts.svg"
set xlabel "hosts"
set ylabel "control bytes per second and host"
plot "docs/capacity/by_hosts.csv" using 1:2 with linespoints title "measured"
set output "docs/capacity/by_servers.svg"
set xlabel "backend servers in the text"
set ylabel "memory of a host, MB"
plot "docs/capacity/by_servers.csv" using 1:2 with linespoints title "measured"
set output "docs/capacity/by_shards.svg"
set xlabel "shards per query"
set ylabel "processor time per call, us"
plot "docs/capacity/by_shards.csv" using 1:2 with linespoints title "measured"
